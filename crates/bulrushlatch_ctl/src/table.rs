//! Text tables.

/// Formats rows as left-aligned columns under a heading. Every row has a cell for each column.
///
/// # Examples
///
/// ```
/// use bulrushlatch_ctl::table::render;
/// let text = render(&["name", "zone"], &[vec!["entry-0".into(), "a".into()]]);
/// assert_eq!(text, "name     zone\nentry-0  a\n");
/// ```
pub fn render(heading: &[&str], rows: &[Vec<String>]) -> String {
    let heading: Vec<String> = heading.iter().map(|&cell| cell.to_owned()).collect();
    let lines: Vec<&Vec<String>> = std::iter::once(&heading).chain(rows).collect();
    let widths: Vec<usize> = (0..heading.len())
        .map(|column| lines.iter().map(|line| line[column].chars().count()).max().unwrap_or(0))
        .collect();
    let mut text = String::new();
    for line in lines {
        let cells = line.iter().zip(&widths);
        let cells = cells.map(|(cell, &width)| format!("{cell:<width$}"));
        let cells: Vec<String> = cells.collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
