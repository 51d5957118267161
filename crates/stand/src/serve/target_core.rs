use {
    super::{call_ledger::CallLedger, connection_set::ConnectionSet, target_call::TargetCall},
    actix_http::{
        Method, Request, StatusCode,
        header::{HeaderName, HeaderValue},
    },
    base::{
        ATTEMPT_HEADER, CUSTOMER_HEADER, CallIdentity, Incarnation, LEAVING_HEADER, LOAD_HEADER,
        NOT_RUN_HEADER, REQUEST_HEADER, STAGE_HEADER,
    },
    rand::{Rng, SeedableRng},
    rand_chacha::ChaCha8Rng,
    setup::{HttpReply, RequestBody, json_reply, read_body, text_reply},
    stand::{CallOutcome, StandControl, TargetHealth},
    std::{
        cell::{Ref, RefCell, RefMut},
        process,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Exit code of a target that crashes.
const CRASH_EXIT_CODE: i32 = 101;
/// Time from the arrival of a call that crashes the target to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// Size limit of the body of `POST /control`.
const MAX_CONTROL_BYTES: usize = 64 * 1024;
/// Time in which the body of `POST /control` must arrive.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// State and interface to tests that plain services and engines have in common.
pub struct TargetCore {
    control: RefCell<StandControl>,
    ledger: RefCell<CallLedger>,
    generator: RefCell<ChaCha8Rng>,
    incarnation: Incarnation,
    connections: ConnectionSet,
}

impl TargetCore {
    /// Creates the state of a target that starts now; `seed` is that of its random choices.
    pub fn new(control: StandControl, ledger: CallLedger, seed: u64) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.unwrap_or_default().as_micros();
        Self {
            control: RefCell::new(control),
            ledger: RefCell::new(ledger),
            generator: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            incarnation: u64::try_from(micros).unwrap_or(u64::MAX),
            connections: ConnectionSet::default(),
        }
    }

    /// Returns the current behaviour and faults.
    pub fn control(&self) -> Ref<'_, StandControl> {
        self.control.borrow()
    }

    /// Returns the records of calls and postings.
    pub fn ledger(&self) -> RefMut<'_, CallLedger> {
        self.ledger.borrow_mut()
    }

    /// Returns the open connections of the server.
    pub fn connections(&self) -> ConnectionSet {
        self.connections.clone()
    }

    /// Records a call and returns its position in the ledger. Fails with the reply to send if the
    /// control wants the call refused or failed. Schedules the crash if the input asks for one.
    pub fn admit(&self, call: &TargetCall) -> Result<usize, HttpReply> {
        let position = self.ledger().record_start(call);
        if self.control().refuse {
            return Err(self.refuse(position, "refused as the control says"));
        }
        let fails = self.generator.borrow_mut().random::<f64>() < self.control().fail_share;
        if fails {
            self.ledger().record_end(position, CallOutcome::Failed);
            let text = "failed as the control says";
            return Err(text_reply(StatusCode::INTERNAL_SERVER_ERROR, text));
        }
        if call.crashes_target() {
            actix_rt::spawn(async {
                actix_rt::time::sleep(CRASH_DELAY).await;
                crash();
            });
        }
        Ok(position)
    }

    /// Records a call as refused and returns the reply, which states that the call did not run.
    pub fn refuse(&self, position: usize, detail: &str) -> HttpReply {
        self.ledger().record_end(position, CallOutcome::Refused);
        let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, detail);
        put_header(&mut reply, NOT_RUN_HEADER, "true");
        reply
    }

    /// Returns a service time with the control's speed and random spread applied to it.
    pub fn service_time(&self, millis: f64) -> Duration {
        let control = self.control();
        let deviation = self.generator.borrow_mut().random::<f64>() * 2.0 - 1.0;
        let millis = millis * (1.0 + control.spread * deviation) / control.speed;
        Duration::try_from_secs_f64(millis / 1_000.0).unwrap_or_default()
    }

    /// Returns the identity that the answer to a call states; wrong if the control says so.
    pub fn stated_identity(&self, identity: &CallIdentity) -> CallIdentity {
        let mut identity = identity.clone();
        if self.control().wrong_identity {
            identity.attempt += 1;
        }
        identity
    }

    /// Sets the headers that report the load and whether the target is leaving.
    pub fn put_status_headers(&self, reply: &mut HttpReply, load: f64) {
        put_header(reply, LOAD_HEADER, format!("{load:.3}"));
        if self.control().leaving {
            put_header(reply, LEAVING_HEADER, "true");
        }
    }

    /// Answers the requests of tests that plain services and engines have in common.
    pub async fn answer_common(&self, request: Request, load: f64, models: &[String]) -> HttpReply {
        match (request.method().clone(), request.path()) {
            (Method::GET, "/records") => json_reply(StatusCode::OK, &self.ledger().records()),
            (Method::GET, "/postings") => json_reply(StatusCode::OK, self.ledger().postings()),
            (Method::GET, "/health") => {
                let health = TargetHealth {
                    load,
                    leaving: self.control().leaving,
                    incarnation: self.incarnation,
                    models: models.to_vec(),
                };
                json_reply(StatusCode::OK, &health)
            }
            (Method::GET, "/control") => json_reply(StatusCode::OK, &*self.control()),
            (Method::POST, "/control") => self.change_control(request).await,
            _ => text_reply(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    async fn change_control(&self, mut request: Request) -> HttpReply {
        let body = read_body(
            &mut RequestBody::take(&mut request),
            MAX_CONTROL_BYTES,
            CONTROL_TIMEOUT,
        )
        .await;
        let patched = self.control().patched(&body.unwrap_or_default());
        match patched {
            Ok(mut control) => {
                if std::mem::take(&mut control.close_pooled) {
                    self.connections.close_idle();
                }
                *self.control.borrow_mut() = control;
                json_reply(StatusCode::OK, &*self.control())
            }
            Err(error) => text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

/// Ends the process without any clean-up, as a crash does.
pub fn crash() -> ! {
    process::exit(CRASH_EXIT_CODE)
}

/// Sets the headers that state the identity of the answered call.
pub fn put_identity(reply: &mut HttpReply, identity: &CallIdentity) {
    put_header(reply, CUSTOMER_HEADER, &identity.customer);
    put_header(reply, REQUEST_HEADER, &identity.request);
    put_header(reply, STAGE_HEADER, identity.stage.to_string());
    put_header(reply, ATTEMPT_HEADER, identity.attempt.to_string());
}

/// Sets a header of an answer; does nothing if the value is not valid in a header.
pub fn put_header(reply: &mut HttpReply, name: &'static str, value: impl AsRef<str>) {
    if let Ok(value) = HeaderValue::from_str(value.as_ref()) {
        reply
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
