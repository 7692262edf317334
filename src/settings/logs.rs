//! Settings of logging: format, levels and rate limit.

use derive_more::{Display, FromStr};
use log::LevelFilter;

use super::scalar::Scalar;
use super::section::Section;

/// Default of [`LogSettings::repeats_per_minute`].
const DEFAULT_REPEATS_PER_MINUTE: u32 = 5;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Display, Eq, FromStr, PartialEq)]
#[from_str(rename_all = "lowercase")]
#[display(rename_all = "lowercase")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl Scalar for LogFormat {
    const EXPECTED: &'static str = "text or json";

    fn read(text: &str) -> Result<Self, Option<String>> {
        text.parse().ok().ok_or(None)
    }
}

/// Settings of logging.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Minimum level of modules that are not listed in `modules`.
    pub level: LevelFilter,
    /// Minimum level by module path.
    pub modules: Vec<(String, LevelFilter)>,
    /// Maximum number of lines per minute from one source code location.
    pub repeats_per_minute: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::default(),
            level: LevelFilter::Info,
            modules: Vec::new(),
            repeats_per_minute: DEFAULT_REPEATS_PER_MINUTE,
        }
    }
}

impl LogSettings {
    /// Reads the section; omitted keys have the values of [`LogSettings::default`].
    pub fn read(section: Option<&Section<'_>>) -> Self {
        let mut settings = Self::default();
        let Some(section) = section else {
            return settings;
        };
        if let Some(format) = section.optional("format") {
            settings.format = format;
        }
        if let Some(level) = section.optional("level") {
            settings.level = level;
        }
        if let Some(repeats) = section.optional("repeats_per_minute") {
            settings.repeats_per_minute = repeats;
        }
        if let Some(modules) = section.optional_section("modules") {
            settings.modules = modules.pairs();
        }
        section.finish();
        settings
    }
}
