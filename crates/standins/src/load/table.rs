//! Figures as text tables: a row for each figure, a column for each class or
//! run.

mod rows;

use crate::load::floor::Floor;
use crate::load::report::Report;
use rows::{class_rows, floor_rows, run_rows, timeline_columns};
use std::fmt::{Display, Formatter, Result};

/// A table of text with aligned columns.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    column_names: Vec<Box<str>>,
    rows: Vec<Row>,
}

/// A named row of cells.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Row {
    name: Box<str>,
    cells: Vec<Box<str>>,
}

impl Table {
    /// Returns the figures of one run: each class, all classes together, and
    /// the floors.
    #[must_use]
    pub fn of_run(report: &Report) -> Self {
        let mut table = Self::default();
        for (name, class) in &report.classes {
            table.add_column(name, class_rows(class));
        }
        table.add_column("total", class_rows(&report.total));
        table.add_floors(&report.floor, &report.lru_floor);
        table
    }

    /// Returns the figures of a run as a whole, which belong to no class.
    #[must_use]
    pub fn of_whole_run(report: &Report) -> Self {
        let mut table = Self::default();
        table.add_column("run", run_rows(report));
        table
    }

    /// Returns the figures of a run over time.
    #[must_use]
    pub fn of_timeline(report: &Report) -> Self {
        let mut table = Self::default();
        for (name, cells) in timeline_columns(&report.timeline) {
            table.add_column(name, cells);
        }
        table
    }

    /// Returns the totals of several runs side by side.
    #[must_use]
    pub fn of_runs(reports: &[(Box<str>, Report)]) -> Self {
        let mut table = Self::default();
        for (name, report) in reports {
            let mut rows = class_rows(&report.total);
            rows.extend(run_rows(report));
            rows.extend(
                floor_rows(&report.floor)
                    .into_iter()
                    .map(with_prefix("floor")),
            );
            let lru = floor_rows(&report.lru_floor);
            rows.extend(lru.into_iter().map(with_prefix("lru-floor")));
            table.add_column(name, rows);
        }
        table
    }

    /// Returns the floors alone.
    #[must_use]
    pub fn of_floors(floor: &Floor, lru_floor: &Floor) -> Self {
        let mut table = Self::default();
        table.add_floors(floor, lru_floor);
        table
    }

    fn add_floors(&mut self, floor: &Floor, lru_floor: &Floor) {
        self.add_column("floor", floor_rows(floor));
        self.add_column("lru-floor", floor_rows(lru_floor));
    }

    fn add_column(&mut self, name: &str, cells: Vec<Cell>) {
        let before = self.column_names.len();
        self.column_names.push(name.into());
        for cell in cells {
            let row = self.row(&cell.row_name, before);
            row.cells.push(cell.text);
        }
        let width = self.column_names.len();
        for row in &mut self.rows {
            row.cells.resize(width, "-".into());
        }
    }

    fn row(&mut self, name: &str, width: usize) -> &mut Row {
        let found = self.rows.iter().position(|row| &*row.name == name);
        let position = found.unwrap_or(self.rows.len());
        if found.is_none() {
            self.rows.push(Row {
                name: name.into(),
                cells: vec!["-".into(); width],
            });
        }
        &mut self.rows[position]
    }
}

/// One figure of a column.
struct Cell {
    row_name: Box<str>,
    text: Box<str>,
}

fn with_prefix(prefix: &str) -> impl Fn(Cell) -> Cell {
    move |cell| Cell {
        row_name: format!("{prefix} {}", cell.row_name).into(),
        text: cell.text,
    }
}

impl Display for Table {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        let names = self.rows.iter().map(|row| row.name.chars().count());
        let name_width = names.max().unwrap_or(0);
        write!(f, "{:name_width$}", "")?;
        for (column, name) in self.column_names.iter().enumerate() {
            write!(f, "  {name:>width$}", width = self.width(column))?;
        }
        writeln!(f)?;
        for row in &self.rows {
            write!(f, "{:name_width$}", row.name)?;
            for (column, cell) in row.cells.iter().enumerate() {
                write!(f, "  {cell:>width$}", width = self.width(column))?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl Table {
    fn width(&self, column: usize) -> usize {
        let cells = self
            .rows
            .iter()
            .map(|row| row.cells[column].chars().count());
        cells
            .chain([self.column_names[column].chars().count()])
            .max()
            .unwrap_or(0)
    }
}
