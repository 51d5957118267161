use {
    crate::{
        CustomerRow, PipelineRow, PoolKind, PoolRow, SheetError, SheetIndex, TargetRow,
        sheet_draft::SheetDraft,
    },
    base::{CustomerId, PipelineId, PoolId, SheetVersion, TargetId},
    std::collections::BTreeMap,
};

/// A complete sheet that has passed every check.
///
/// ```
/// use sheet::{FleetSheet, IndexPart, SheetIndex};
///
/// let text = String::from(
///     r#"
///     [[pipeline]]
///     name = "posting"
///     deadline = "2s"
///     stage = [{ pool = "ledger", call = "post", expected = "50ms" }]
///     [[pool]]
///     name = "ledger"
///     kind = "plain"
///     non_idempotent = ["post"]
///     [[target]]
///     name = "ledger-1"
///     pool = "ledger"
///     data_centre = "erie"
///     address = "10.0.0.1:9000"
///     capacity = 4
///     "#,
/// );
/// let part = IndexPart { key: "fleet".into(), digest: SheetIndex::part_digest(&text) };
/// let index = SheetIndex { version: 7, part: vec![part] };
/// let sheet = FleetSheet::assemble(index, &[text]).unwrap();
/// assert_eq!(sheet.version(), 7);
/// assert!(!sheet.is_idempotent("ledger", "post"));
/// assert!(!sheet.is_engine_pool("ledger"));
/// assert_eq!(sheet.pool_targets("ledger").count(), 1);
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct FleetSheet {
    /// Index that the sheet was assembled from.
    pub index: SheetIndex,
    /// Pipelines by name.
    pub pipelines: BTreeMap<PipelineId, PipelineRow>,
    /// Customers by name.
    pub customers: BTreeMap<CustomerId, CustomerRow>,
    /// Pools by name.
    pub pools: BTreeMap<PoolId, PoolRow>,
    /// Targets by name.
    pub targets: BTreeMap<TargetId, TargetRow>,
}

impl FleetSheet {
    /// Assembles a sheet from the texts of its parts, in the index's order, and checks it.
    ///
    /// ```
    /// use sheet::{FleetSheet, SheetIndex};
    ///
    /// let index = SheetIndex { version: 1, part: Vec::new() };
    /// let errors = FleetSheet::assemble(index, &[String::new()]).unwrap_err();
    /// assert_eq!(errors[0].part, "index");
    /// ```
    ///
    /// # Errors
    ///
    /// Returns all errors that were found, ordered by part and line; no part of such a sheet may be
    /// put in force. References between rows are checked only if every part can be read, since a
    /// missing row may be in an unreadable part.
    pub fn assemble(index: SheetIndex, texts: &[String]) -> Result<Self, Vec<SheetError>> {
        let mut draft = SheetDraft::new();
        let mut is_readable = index.check_texts(texts, &mut draft.errors);
        for (part, text) in index.part.iter().zip(texts) {
            is_readable &= draft.read_part(&part.key, text);
        }
        if is_readable {
            draft.check_references();
        }
        if !draft.errors.is_empty() {
            return Err(index.sort_errors(draft.errors));
        }
        Ok(Self {
            index,
            pipelines: draft.pipelines.into_map(),
            customers: draft.customers.into_map(),
            pools: draft.pools.into_map(),
            targets: draft.targets.into_map(),
        })
    }

    /// Returns the version that the index states.
    pub fn version(&self) -> SheetVersion {
        self.index.version
    }

    /// Returns true if a call of this kind may be repeated on the targets of the pool; false for an
    /// unknown pool.
    pub fn is_idempotent(&self, pool: &str, call: &str) -> bool {
        match self.pools.get(pool) {
            Some(row) => !row.non_idempotent.iter().any(|kind| kind == call),
            None => false,
        }
    }

    /// Returns true if the targets of the pool are model engines; false for an unknown pool.
    pub fn is_engine_pool(&self, pool: &str) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|row| row.kind == PoolKind::Engine)
    }

    /// Returns the targets of a pool that are not marked as leaving.
    pub fn pool_targets<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a TargetRow> {
        self.targets
            .values()
            .filter(move |row| row.pool == pool && !row.leaving)
    }
}
