//! Logging of a process: lines on standard error or standard output, as text or JSON.
//!
//! Log lines report changes of state; frequencies are reported by metrics. If a fault causes one source code
//! location to log continuously, [`RepeatLimit`] lets a few lines per minute through and reports how many
//! it suppressed.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use log::LevelFilter;
use logforth::append::{Stderr, Stdout};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter as Filter, Record};
use logforth::{Append, Diagnostic, Error};

use crate::settings::logs::{LogFormat, LogSettings};

/// Maximum number of lines per minute from one source code location to standard output.
const STDOUT_REPEATS_PER_MINUTE: u32 = 60;
/// Length of the window in which repeated lines are counted.
const REPEAT_WINDOW: Duration = Duration::from_mins(1);

/// Installs a logger that writes JSON lines to standard output. Has no effect if a logger is installed.
pub fn install_for_stdout() {
    let append = RepeatLimited {
        inner: Stdout::default().with_layout(JsonLayout::default()),
        limit: Mutex::new(RepeatLimit::new(STDOUT_REPEATS_PER_MINUTE)),
    };
    let filter = RustLogFilterBuilder::default().filter_level(to_filter(LevelFilter::Info));
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|d| d.filter(filter.build()).append(append));
    // An error means that a logger is already installed; it stays in use.
    drop(builder.try_apply());
}

/// Installs the logger of this process, which writes to standard error. Has no effect if a logger is
/// installed, so that tests and embedding programs can use their own.
pub fn install(settings: &LogSettings) {
    let mut filter = RustLogFilterBuilder::default().filter_level(to_filter(settings.level));
    for (module, level) in &settings.modules {
        filter = filter.filter_module(module.clone(), to_filter(*level));
    }
    let stderr = match settings.format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    let append = RepeatLimited {
        inner: stderr,
        limit: Mutex::new(RepeatLimit::new(settings.repeats_per_minute)),
    };
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|d| d.filter(filter.build()).append(append));
    // An error means that a logger is already installed; it stays in use.
    drop(builder.try_apply());
}

const fn to_filter(level: LevelFilter) -> Filter {
    match level {
        LevelFilter::Off => Filter::Off,
        LevelFilter::Error => Filter::MoreSevereEqual(Level::Error),
        LevelFilter::Warn => Filter::MoreSevereEqual(Level::Warn),
        LevelFilter::Info => Filter::MoreSevereEqual(Level::Info),
        LevelFilter::Debug => Filter::MoreSevereEqual(Level::Debug),
        LevelFilter::Trace => Filter::MoreSevereEqual(Level::Trace),
    }
}

/// A source code location that writes log lines.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LogLocation {
    /// Module path.
    pub target: String,
    /// Line number in the source file.
    pub line: u32,
}

/// What to do with a log line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decision {
    /// Write the line.
    Write,
    /// Write the line after a note with the number of lines from this location that were suppressed.
    WriteWithSuppressedCount(u32),
    /// Do not write the line.
    Suppress,
}

/// Limits the lines per minute from each source code location. Its memory is bounded by the number of
/// locations in the code.
#[derive(Debug)]
pub struct RepeatLimit {
    per_window: u32,
    by_location: HashMap<LogLocation, Repeats>,
}

#[derive(Debug)]
struct Repeats {
    window_end: Instant,
    seen: u32,
}

impl RepeatLimit {
    /// Creates a limit of `per_window` lines per minute and location.
    pub fn new(per_window: u32) -> Self {
        Self {
            per_window,
            by_location: HashMap::new(),
        }
    }

    /// Counts a line from `location` and returns what to do with it.
    pub fn on_line(&mut self, now: Instant, location: LogLocation) -> Decision {
        let fresh = Repeats {
            window_end: now + REPEAT_WINDOW,
            seen: 0,
        };
        let repeats = self.by_location.entry(location).or_insert(fresh);
        let mut suppressed = 0;
        if repeats.window_end <= now {
            suppressed = repeats.seen.saturating_sub(self.per_window);
            repeats.window_end = now + REPEAT_WINDOW;
            repeats.seen = 0;
        }
        repeats.seen = repeats.seen.saturating_add(1);
        match suppressed {
            _ if repeats.seen > self.per_window => Decision::Suppress,
            0 => Decision::Write,
            suppressed => Decision::WriteWithSuppressedCount(suppressed),
        }
    }
}

#[derive(Debug)]
struct RepeatLimited<A> {
    inner: A,
    limit: Mutex<RepeatLimit>,
}

impl<A> RepeatLimited<A> {
    fn decide(&self, record: &Record<'_>) -> Decision {
        let location = LogLocation {
            target: record.target().to_owned(),
            line: record.line().unwrap_or_default(),
        };
        let mut limit = self.limit.lock().unwrap_or_else(PoisonError::into_inner);
        limit.on_line(Instant::now(), location)
    }
}

impl<A: Append> Append for RepeatLimited<A> {
    fn append(&self, record: &Record<'_>, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        match self.decide(record) {
            Decision::Suppress => return Ok(()),
            Decision::Write => {}
            Decision::WriteWithSuppressedCount(suppressed) => {
                let note = format_args!("{suppressed} similar lines were suppressed");
                let note = record.to_builder().payload(note).build();
                self.inner.append(&note, diags)?;
            }
        }
        self.inner.append(record, diags)
    }

    fn flush(&self) -> Result<(), Error> {
        self.inner.flush()
    }
}
