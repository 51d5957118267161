use {
    crate::SheetIndex,
    serde::{Deserialize, Serialize},
};

/// A sheet as it is transferred: the index and the texts of its parts in the index's order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SheetBundle {
    /// Index of the sheet.
    pub index: SheetIndex,
    /// Texts of the parts.
    pub parts: Vec<String>,
}

impl SheetBundle {
    /// Returns true if the texts are those that the index names. Texts that were read while an
    /// operator was publishing may not match, although neither sheet has an error.
    ///
    /// ```
    /// use sheet::{SheetBundle, SheetIndex};
    ///
    /// let index = SheetIndex { version: 1, part: Vec::new() };
    /// assert!(SheetBundle { index, parts: Vec::new() }.matches_index());
    /// ```
    pub fn matches_index(&self) -> bool {
        let mut pairs = self.index.part.iter().zip(&self.parts);
        self.index.part.len() == self.parts.len()
            && pairs.all(|(part, text)| part.digest == SheetIndex::part_digest(text))
    }
}
