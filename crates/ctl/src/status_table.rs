use {serde_json::Value, std::fmt};

/// Status answers of several entries: one row for each key, one column for each entry.
#[derive(Debug, Default)]
pub struct StatusTable {
    /// Names of the entries, which head the columns.
    entry_names: Vec<String>,
    /// Dotted key and one value for each column; `-` where an entry has no such key.
    rows: Vec<(String, Vec<String>)>,
}

impl StatusTable {
    /// Adds the column of one entry, and a row for each key that no earlier entry had.
    pub fn add_column(&mut self, entry_name: impl Into<String>, status: &Value) {
        self.entry_names.push(entry_name.into());
        let column_count = self.entry_names.len();
        for (key, value) in flatten("", status) {
            let index = self.rows.iter().position(|(row_key, _)| *row_key == key);
            let index = index.unwrap_or_else(|| {
                self.rows.push((key, Vec::new()));
                self.rows.len() - 1
            });
            let values = &mut self.rows[index].1;
            values.resize(column_count - 1, String::from("-"));
            values.push(value);
        }
        for (_, values) in &mut self.rows {
            values.resize(column_count, String::from("-"));
        }
    }
}

impl fmt::Display for StatusTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = (String::from("entry"), self.entry_names.clone());
        let lines: Vec<&(String, Vec<String>)> =
            std::iter::once(&header).chain(&self.rows).collect();
        let key_width = lines.iter().map(|(key, _)| key.len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..self.entry_names.len())
            .map(|column| {
                let cells = lines.iter().map(|(_, values)| values[column].len());
                cells.max().unwrap_or(0)
            })
            .collect();
        for (key, values) in lines {
            let mut line = format!("{key:key_width$}");
            for (value, width) in values.iter().zip(&widths) {
                line.push_str(&format!("  {value:width$}"));
            }
            writeln!(formatter, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

/// Returns the leaves of a JSON value with their dotted paths; an array is one leaf, its items
/// separated by commas.
fn flatten(path: &str, value: &Value) -> Vec<(String, String)> {
    match value {
        Value::Object(fields) => {
            let child_path = |key: &String| {
                if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                }
            };
            let leaves = fields
                .iter()
                .map(|(key, value)| flatten(&child_path(key), value));
            leaves.flatten().collect()
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            vec![(path.to_string(), items.join(", "))]
        }
        leaf => vec![(path.to_string(), plain_text(leaf))],
    }
}

/// Returns the text of a value, without quotes if it is a string.
fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
