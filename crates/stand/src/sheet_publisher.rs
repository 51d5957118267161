use {
    anyhow::{Context, ensure},
    awc::Client,
    base::{HostList, SheetVersion},
    sheet::{IndexPart, SheetIndex, SheetPart},
};

/// Key of the value that holds the sheet's index.
const INDEX_KEY: &str = "sheet/index";

/// Number of customers in one part, so that its text stays far below the service's size limit.
const MAX_PART_CUSTOMERS: usize = 2_000;

/// Publishes sheets and host lists to the platform stand-in, as operators do.
pub struct SheetPublisher {
    client: Client,
    operators: String,
}

impl SheetPublisher {
    /// Creates a publisher; `operators` is the `ip:port` of the platform's operators' interface.
    ///
    /// ```no_run
    /// # async fn publish() -> anyhow::Result<()> {
    /// let publisher = stand::SheetPublisher::new("127.0.0.1:4000");
    /// let parts = [String::from("[[customer]]\n")];
    /// let index = publisher.publish(7, &parts).await?;
    /// assert_eq!(index.version, 7);
    /// # Ok(())
    /// # }
    /// ```
    pub fn new(operators: impl Into<String>) -> Self {
        Self {
            client: Client::default(),
            operators: operators.into(),
        }
    }

    /// Splits a sheet's rows into parts and returns their texts, each far below the size limit of
    /// the configuration service. Only the first part holds rows other than customers.
    ///
    /// # Errors
    ///
    /// Fails if the rows cannot be written as TOML.
    ///
    /// ```
    /// let parts = stand::SheetPublisher::split_parts(&sheet::SheetPart::default()).unwrap();
    /// assert_eq!(parts.len(), 1);
    /// ```
    pub fn split_parts(rows: &SheetPart) -> Result<Vec<String>, toml::ser::Error> {
        let (first_customers, other_customers) = rows
            .customer
            .split_at(rows.customer.len().min(MAX_PART_CUSTOMERS));
        let first_part = SheetPart {
            customer: first_customers.to_vec(),
            ..rows.clone()
        };
        let other_parts = other_customers
            .chunks(MAX_PART_CUSTOMERS)
            .map(|customer| SheetPart {
                customer: customer.to_vec(),
                ..SheetPart::default()
            });
        let parts = std::iter::once(first_part).chain(other_parts);
        parts.map(|part| toml::to_string(&part)).collect()
    }

    /// Returns the index of a sheet whose parts are stored under `sheet/{version}/{n}`.
    ///
    /// ```
    /// let index = stand::SheetPublisher::build_index(7, &[String::from("part")]);
    /// assert_eq!(index.part[0].key, "sheet/7/0");
    /// ```
    pub fn build_index(version: SheetVersion, parts: &[String]) -> SheetIndex {
        let rows = parts.iter().enumerate().map(|(number, text)| IndexPart {
            key: format!("sheet/{version}/{number}"),
            digest: SheetIndex::part_digest(text),
        });
        SheetIndex {
            version,
            part: rows.collect(),
        }
    }

    /// Publishes the parts of a sheet and then its index, so that no reader finds an index whose
    /// parts are missing. Returns the index.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or refuses a part or the index.
    pub async fn publish(
        &self,
        version: SheetVersion,
        parts: &[String],
    ) -> anyhow::Result<SheetIndex> {
        let index = Self::build_index(version, parts);
        for (row, text) in index.part.iter().zip(parts) {
            self.put(&format!("values/{}", row.key), text.clone())
                .await?;
        }
        let text = toml::to_string(&index)?;
        self.put(&format!("values/{INDEX_KEY}"), text).await?;
        Ok(index)
    }

    /// Stores one value under a key.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or refuses the value.
    pub async fn put_value(&self, key: &str, text: impl Into<String>) -> anyhow::Result<()> {
        self.put(&format!("values/{key}"), text.into()).await
    }

    /// Replaces the host list.
    ///
    /// # Errors
    ///
    /// Fails if the platform cannot be reached or refuses the list.
    pub async fn put_hosts(&self, list: &HostList) -> anyhow::Result<()> {
        self.put("hosts", serde_json::to_string(list)?).await
    }

    async fn put(&self, path: &str, text: String) -> anyhow::Result<()> {
        let url = format!("http://{}/{path}", self.operators);
        let reply = self.client.put(&url).send_body(text).await;
        let reply = reply.map_err(|error| anyhow::anyhow!("{error}"));
        let reply = reply.with_context(|| format!("cannot put {path}"))?;
        ensure!(
            reply.status().is_success(),
            "the platform answered PUT {path} with {}",
            reply.status()
        );
        Ok(())
    }
}
