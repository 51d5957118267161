use {serde_json::Value, std::fmt};

/// What several entries say of themselves, one column for each.
#[derive(Debug, Default)]
pub struct StatusTable {
    names: Vec<String>,
    rows: Vec<(String, Vec<String>)>,
}

impl StatusTable {
    /// Adds the column of one entry.
    pub fn add(&mut self, name: impl Into<String>, status: &Value) {
        self.names.push(name.into());
        let column = self.names.len();
        for (key, value) in flatten("", status) {
            let place = self.rows.iter().position(|(row, _)| *row == key);
            let place = place.unwrap_or_else(|| {
                self.rows.push((key, Vec::new()));
                self.rows.len() - 1
            });
            let values = &mut self.rows[place].1;
            values.resize(column - 1, String::from("-"));
            values.push(value);
        }
        for (_, values) in &mut self.rows {
            values.resize(column, String::from("-"));
        }
    }
}

impl fmt::Display for StatusTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = (String::from("entry"), self.names.clone());
        let lines: Vec<&(String, Vec<String>)> = std::iter::once(&head).chain(&self.rows).collect();
        let key_width = lines.iter().map(|(key, _)| key.len()).max().unwrap_or(0);
        let widths: Vec<usize> = (0..self.names.len())
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

/// Leaves of a JSON value with their paths.
fn flatten(path: &str, value: &Value) -> Vec<(String, String)> {
    match value {
        Value::Object(fields) => {
            let below = |key: &String| {
                if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                }
            };
            let leaves = fields
                .iter()
                .map(|(key, value)| flatten(&below(key), value));
            leaves.flatten().collect()
        }
        Value::Array(items) => {
            let items: Vec<String> = items.iter().map(plain_text).collect();
            vec![(path.to_string(), items.join(", "))]
        }
        leaf => vec![(path.to_string(), plain_text(leaf))],
    }
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
