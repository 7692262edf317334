//! Self-contained HTML pages with tables and SVG charts over time.
//!
//! `report burn` and `load` fill a [`Page`]. The line of a chart has gaps where values are unknown. Shaded
//! intervals mark conditions that may explain the line, such as a zone that is out of service.

use std::fmt::Write as _;
use std::ops::Range;

use plotters::prelude::*;
use snafu::Snafu;

/// Size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (900, 260);
/// Size of captions and labels, in pixels.
const CAPTION_PIXELS: u32 = 18;
const LABEL_PIXELS: u32 = 40;
/// Upper end of the vertical axis, relative to the largest value.
const HEADROOM: f64 = 1.1;
const STYLE: &str = "body{font:15px/1.4 system-ui,sans-serif;max-width:960px;margin:2em auto;padding:0 1em}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.25em .7em;border-bottom:1px solid #ccc;text-align:right}\
td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:600}svg{max-width:100%;height:auto}";

/// Error of drawing a chart.
#[derive(Debug, Snafu)]
#[snafu(display("cannot draw the chart {chart}: {problem}"))]
pub struct PageError {
    /// Title of the chart.
    chart: String,
    /// The error of the chart library.
    problem: String,
}

/// An HTML page.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Title and heading of the page.
    pub title: String,
    /// Introductory paragraph.
    pub summary: String,
    /// Sections, in order.
    pub sections: Vec<Section>,
}

/// A section of a page.
#[derive(Clone, Debug, Default)]
pub struct Section {
    /// Heading of the section.
    pub title: String,
    /// Paragraphs above the tables.
    pub notes: Vec<String>,
    /// Tables, in order.
    pub tables: Vec<Table>,
    /// Charts below the tables, in order.
    pub charts: Vec<Chart>,
}

/// A table with a header row.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Column headers.
    pub head: Vec<String>,
    /// Rows, each with as many cells as `head`.
    pub rows: Vec<Row>,
}

/// A row of a table.
#[derive(Clone, Debug, Default)]
pub struct Row {
    /// The cells.
    pub cells: Vec<String>,
    /// Whether the row is highlighted as needing attention.
    pub bad: bool,
}

/// A line chart over time.
#[derive(Clone, Debug, Default)]
pub struct Chart {
    /// Title of the chart, with the unit of the values.
    pub title: String,
    /// Label of the horizontal axis.
    pub axis: String,
    /// Points in order of their horizontal position; the value is `None` where it is unknown.
    pub points: Vec<(f64, Option<f64>)>,
    /// Intervals of the horizontal axis to shade.
    pub shaded: Vec<Range<f64>>,
}

impl Page {
    /// Renders the page as HTML.
    pub fn to_html(&self) -> Result<String, PageError> {
        let mut html = String::new();
        let title = escape(&self.title);
        push(
            &mut html,
            format_args!(
                "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style></head><body>\n<h1>{title}</h1>\n<p>{}</p>\n",
                escape(&self.summary)
            ),
        );
        for section in &self.sections {
            section.write(&mut html)?;
        }
        html.push_str("</body></html>\n");
        Ok(html)
    }
}

impl Section {
    fn write(&self, html: &mut String) -> Result<(), PageError> {
        push(html, format_args!("<h2>{}</h2>\n", escape(&self.title)));
        for note in &self.notes {
            push(html, format_args!("<p>{}</p>\n", escape(note)));
        }
        for table in &self.tables {
            table.write(html);
        }
        for chart in &self.charts {
            html.push_str(&chart.to_svg()?);
        }
        Ok(())
    }
}

impl Table {
    fn write(&self, html: &mut String) {
        html.push_str("<table><tr>");
        for cell in &self.head {
            push(html, format_args!("<th>{}</th>", escape(cell)));
        }
        html.push_str("</tr>\n");
        for row in &self.rows {
            let class = if row.bad { " class=\"bad\"" } else { "" };
            push(html, format_args!("<tr{class}>"));
            for cell in &row.cells {
                push(html, format_args!("<td>{}</td>", escape(cell)));
            }
            html.push_str("</tr>\n");
        }
        html.push_str("</table>\n");
    }

    /// Formats the table as text with aligned columns. A row that needs attention ends with `!`.
    pub fn to_text(&self) -> String {
        let rows = || std::iter::once(&self.head).chain(self.rows.iter().map(|r| &r.cells));
        let width = |i: usize| {
            rows()
                .filter_map(|r| r.get(i))
                .map(|c| c.chars().count())
                .max()
        };
        let mut text = String::new();
        for (at, cells) in rows().enumerate() {
            let mut line = String::new();
            for (i, cell) in cells.iter().enumerate() {
                let width = width(i).unwrap_or_default();
                match i {
                    0 => push(&mut line, format_args!("{cell:<width$}")),
                    _ => push(&mut line, format_args!("  {cell:>width$}")),
                }
            }
            let bad = at > 0 && self.rows[at - 1].bad;
            let mark = if bad { "  !" } else { "" };
            push(&mut text, format_args!("{}{mark}\n", line.trim_end()));
        }
        text
    }
}

impl Chart {
    /// Renders the chart as SVG.
    pub fn to_svg(&self) -> Result<String, PageError> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|e| PageError {
            chart: self.title.clone(),
            problem: e.to_string(),
        })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), Box<dyn std::error::Error + '_>> {
        let root = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let (xs, top) = (self.x_range(), self.top());
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", CAPTION_PIXELS))
            .x_label_area_size(LABEL_PIXELS)
            .y_label_area_size(LABEL_PIXELS + CAPTION_PIXELS)
            .margin(5)
            .build_cartesian_2d(xs, 0.0..top)?;
        chart
            .configure_mesh()
            .x_desc(&self.axis)
            .light_line_style(WHITE)
            .draw()?;
        let shade = RGBColor(255, 190, 80).mix(0.4).filled();
        let shaded = self.shaded.iter();
        chart.draw_series(shaded.map(|s| Rectangle::new([(s.start, 0.0), (s.end, top)], shade)))?;
        let line = RGBColor(20, 80, 160);
        for segment in self.segments() {
            let dots = segment.iter().map(|p| Circle::new(*p, 1, line.filled()));
            chart.draw_series(dots)?;
            chart.draw_series(LineSeries::new(segment, line.stroke_width(2)))?;
        }
        root.present()?;
        Ok(())
    }

    /// Splits the points at unknown values into continuous line segments.
    fn segments(&self) -> Vec<Vec<(f64, f64)>> {
        let parts = self.points.split(|(_, y)| y.is_none());
        let known = parts.filter(|p| !p.is_empty());
        known
            .map(|p| p.iter().filter_map(|(x, y)| Some((*x, (*y)?))).collect())
            .collect()
    }

    fn x_range(&self) -> Range<f64> {
        let first = self.points.first().map_or(0.0, |p| p.0);
        let last = self.points.last().map_or(1.0, |p| p.0);
        first..last.max(first + 1.0)
    }

    fn top(&self) -> f64 {
        let largest = self.points.iter().filter_map(|p| p.1).fold(0.0, f64::max);
        if largest > 0.0 {
            largest * HEADROOM
        } else {
            1.0
        }
    }
}

fn push(text: &mut String, what: std::fmt::Arguments<'_>) {
    text.write_fmt(what)
        .expect("a string takes whatever is written to it");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
