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

/// Kind of call that counts as a posting.
const POSTING_CALL: &str = "post";

/// Every call that a target saw, and how often each posting was applied.
pub struct CallLedger {
    records: Vec<CallRecord>,
    postings: BTreeMap<String, u64>,
    journal: Option<File>,
}

impl CallLedger {
    /// Ledger whose postings outlive the process if there is a journal file.
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

    /// Records a call that arrives; returns its position.
    pub fn begin(&mut self, call: &TargetCall) -> usize {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = elapsed.unwrap_or_default().as_micros();
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
    pub fn end(&mut self, position: usize, outcome: CallOutcome) {
        self.records[position].outcome = outcome;
    }

    /// Records that a token was sent; returns the number of tokens sent so far.
    pub fn count_token(&mut self, position: usize) -> u64 {
        let record = &mut self.records[position];
        record.tokens_sent += 1;
        record.tokens_sent
    }

    /// Applies the work of a call that changes something.
    pub fn apply(&mut self, call: &TargetCall) {
        if call.name != POSTING_CALL {
            return;
        }
        let key = call.request_key();
        self.count_posting(&key);
        if let Some(journal) = &mut self.journal
            && let Err(error) = journal.write_all(format!("{key}\n").as_bytes())
        {
            eprintln!("journal: {error}");
        }
    }

    /// All calls in the order of their arrival.
    pub fn records(&self) -> &[CallRecord] {
        &self.records
    }

    /// Number of times that each posting was applied.
    pub fn postings(&self) -> &BTreeMap<String, u64> {
        &self.postings
    }

    fn count_posting(&mut self, key: &str) {
        *self.postings.entry(key.to_string()).or_default() += 1;
    }
}
