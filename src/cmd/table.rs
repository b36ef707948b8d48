//! Tables for a person to read.

/// Prints rows under headers, each column as wide as its widest cell.
pub(crate) fn print<const N: usize>(headers: [&str; N], rows: &[[String; N]]) {
    let mut widths = headers.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    print_row(&headers.map(str::to_owned), &widths);
    for row in rows {
        print_row(row, &widths);
    }
}

fn print_row(cells: &[String], widths: &[usize]) {
    let line: Vec<_> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    println!("{}", line.join("  ").trim_end());
}

/// Text of a field of a JSON object; `-` when it is absent.
pub(crate) fn cell(value: &serde_json::Value, pointer: &str) -> String {
    match value.pointer(pointer) {
        None | Some(serde_json::Value::Null) => "-".into(),
        Some(serde_json::Value::String(text)) if text.is_empty() => "-".into(),
        Some(serde_json::Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}
