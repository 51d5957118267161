use {
    super::target_call::TargetCall,
    base::AnswerDigest,
    stand::{CallOutcome, CallRecord},
    std::{
        collections::BTreeMap,
        fs::{File, OpenOptions},
        io::Write,
        path::PathBuf,
        time::{SystemTime, UNIX_EPOCH},
    },
};

/// Kind of call that is a posting, which must not be applied twice.
const POSTING_CALL: &str = "post";

/// Records of all calls that a target received, and how often it applied each posting.
pub struct CallLedger {
    records: Vec<CallRecord>,
    /// Number of times that each posting was applied, by `{customer}/{request}`.
    postings: BTreeMap<String, u64>,
    journal: Option<File>,
}

impl CallLedger {
    /// Opens a ledger. With a journal file it starts with the postings of earlier processes and
    /// appends its own.
    pub fn open(journal: Option<&PathBuf>) -> anyhow::Result<Self> {
        let mut ledger = Self {
            records: Vec::new(),
            postings: BTreeMap::new(),
            journal: None,
        };
        let Some(path) = journal else {
            return Ok(ledger);
        };
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        for line in std::fs::read_to_string(path)?.lines() {
            ledger.count_posting(line);
        }
        ledger.journal = Some(file);
        Ok(ledger)
    }

    /// Records a call that arrived; returns the position of its record.
    pub fn record_start(&mut self, call: &TargetCall) -> usize {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.unwrap_or_default().as_micros();
        self.records.push(CallRecord {
            call: call.identity.clone(),
            name: call.name.clone(),
            input_digest: AnswerDigest::of(&call.input).hex(),
            started_us: u64::try_from(micros).unwrap_or(u64::MAX),
            outcome: CallOutcome::Running,
            tokens_sent: 0,
        });
        self.records.len() - 1
    }

    /// Records how a call ended.
    pub fn record_end(&mut self, position: usize, outcome: CallOutcome) {
        self.records[position].outcome = outcome;
    }

    /// Adds one to the tokens that a call has sent; returns the new number.
    pub fn count_token(&mut self, position: usize) -> u64 {
        let record = &mut self.records[position];
        record.tokens_sent += 1;
        record.tokens_sent
    }

    /// Applies a call if it is a posting and appends it to the journal.
    pub fn apply_posting(&mut self, call: &TargetCall) {
        if call.name != POSTING_CALL {
            return;
        }
        let key = call.posting_key();
        self.count_posting(&key);
        if let Some(journal) = &mut self.journal
            && let Err(error) = journal.write_all(format!("{key}\n").as_bytes())
        {
            eprintln!(
                "cannot append to the journal, a posting is lost at the next restart: {error}"
            );
        }
    }

    /// Returns all calls in the order of their arrival.
    pub fn records(&self) -> &[CallRecord] {
        &self.records
    }

    /// Returns the number of times that each posting was applied, by `{customer}/{request}`.
    pub fn postings(&self) -> &BTreeMap<String, u64> {
        &self.postings
    }

    fn count_posting(&mut self, key: &str) {
        *self.postings.entry(key.to_string()).or_default() += 1;
    }
}
