use {
    crate::{
        CustomerRow, PipelineRow, PoolKind, PoolRow, SheetError, SheetIndex, SheetPart, TargetRow,
    },
    base::{CustomerId, PipelineId, PoolId, SheetVersion, TargetId},
    std::collections::BTreeMap,
};

/// A whole sheet that has passed every check.
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
    /// Puts the parts together and checks them; `texts` holds the parts in the index's order.
    ///
    /// # Errors
    ///
    /// Returns every fault that was found; no part of such a sheet may be put in force.
    pub fn assemble(index: SheetIndex, texts: &[String]) -> Result<Self, Vec<SheetError>> {
        let mut sheet = Self {
            index,
            pipelines: BTreeMap::new(),
            customers: BTreeMap::new(),
            pools: BTreeMap::new(),
            targets: BTreeMap::new(),
        };
        let mut errors = Vec::new();
        let parts = sheet.index.part.clone();
        for (part, text) in parts.iter().zip(texts) {
            match toml::from_str::<SheetPart>(text) {
                Ok(rows) => sheet.absorb(rows),
                Err(error) => errors.push(SheetError {
                    part: part.key.clone(),
                    line: 0,
                    key: String::new(),
                    message: error.message().to_string(),
                }),
            }
        }
        if errors.is_empty() {
            Ok(sheet)
        } else {
            Err(errors)
        }
    }

    /// Version of the sheet.
    pub fn version(&self) -> SheetVersion {
        self.index.version
    }

    /// True if a call of this kind may be repeated on the targets of the pool.
    pub fn is_idempotent(&self, pool: &str, call: &str) -> bool {
        match self.pools.get(pool) {
            Some(row) => !row.non_idempotent.iter().any(|kind| kind == call),
            None => false,
        }
    }

    /// True if the targets of the pool are model engines.
    pub fn is_engine_pool(&self, pool: &str) -> bool {
        self.pools
            .get(pool)
            .is_some_and(|row| row.kind == PoolKind::Engine)
    }

    /// Targets of a pool that are not marked as leaving.
    pub fn pool_targets<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a TargetRow> {
        self.targets
            .values()
            .filter(move |row| row.pool == pool && !row.leaving)
    }

    fn absorb(&mut self, rows: SheetPart) {
        let pipelines = rows.pipeline.into_iter().map(|row| (row.name.clone(), row));
        self.pipelines.extend(pipelines);
        let customers = rows.customer.into_iter().map(|row| (row.name.clone(), row));
        self.customers.extend(customers);
        let pools = rows.pool.into_iter().map(|row| (row.name.clone(), row));
        self.pools.extend(pools);
        let targets = rows.target.into_iter().map(|row| (row.name.clone(), row));
        self.targets.extend(targets);
    }
}
