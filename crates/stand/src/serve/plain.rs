use {
    super::{
        call_ledger::CallLedger,
        stand_server::{HalfClosePolicy, serve_stand},
        target_call::TargetCall,
        target_core::{TargetCore, crash, put_header, put_identity},
    },
    actix_http::{Method, Request, Response, StatusCode, body::MessageBody},
    base::{AnswerDigest, CallIdentity, DIGEST_HEADER, LENGTH_HEADER},
    setup::{HttpReply, ReadyLine, text_reply},
    stand::{CallOutcome, EchoRule, StandControl},
    std::{cell::RefCell, path::PathBuf, rc::Rc},
    tokio::{net::TcpListener, sync::Semaphore},
};

/// Run a plain service, which gives one whole answer to each call.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "plain")]
pub struct PlainArgs {
    /// name of the target
    #[argh(option)]
    name: String,
    /// address to listen at
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// service time of a call in milliseconds
    #[argh(option, default = "5.0")]
    delay_ms: f64,
    /// random spread of the service time, from 0 to 1
    #[argh(option, default = "0.0")]
    spread: f64,
    /// divisor of every service time
    #[argh(option, default = "1.0")]
    speed: f64,
    /// number of calls that run at once; others wait
    #[argh(option, default = "8")]
    slots: usize,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
    /// file that keeps the applied postings across restarts
    #[argh(option)]
    journal: Option<PathBuf>,
}

/// Output of a call and the identity that the answer states.
#[derive(Clone)]
struct PlainAnswer {
    identity: CallIdentity,
    output: Vec<u8>,
}

struct PlainService {
    core: TargetCore,
    slot_count: usize,
    free_slots: Semaphore,
    /// Answer to the previous call, for `reply_twice`.
    previous_answer: RefCell<Option<PlainAnswer>>,
}

/// Runs a plain service.
pub async fn run_plain(args: PlainArgs) -> anyhow::Result<()> {
    let control = StandControl {
        delay_ms: args.delay_ms,
        spread: args.spread,
        speed: args.speed,
        ..StandControl::default()
    };
    let ledger = CallLedger::open(args.journal.as_ref())?;
    let service = Rc::new(PlainService {
        core: TargetCore::new(control, ledger, args.seed),
        slot_count: args.slots,
        free_slots: Semaphore::new(args.slots),
        previous_answer: RefCell::new(None),
    });
    let listener = TcpListener::bind(&args.listen).await?;
    ReadyLine::new("camphor-stand", &args.name)
        .with_address("calls", listener.local_addr()?)
        .print()?;
    let connections = service.core.connections();
    let handler = move |request| Rc::clone(&service).answer(request);
    serve_stand(listener, connections, HalfClosePolicy::Answer, handler).await;
    Ok(())
}

impl PlainService {
    async fn answer(self: Rc<Self>, request: Request) -> HttpReply {
        if request.method() != Method::POST || request.path() != "/call" {
            return self.core.answer_common(request, self.load(), &[]).await;
        }
        let mut reply = match TargetCall::read(request).await {
            Ok(call) => self.run_call(call).await,
            Err(detail) => text_reply(StatusCode::BAD_REQUEST, detail),
        };
        self.core.put_status_headers(&mut reply, self.load());
        reply
    }

    /// Share of the slots that are in use.
    fn load(&self) -> f64 {
        let running = self.slot_count - self.free_slots.available_permits();
        running as f64 / self.slot_count as f64
    }

    async fn run_call(&self, call: TargetCall) -> HttpReply {
        let position = match self.core.admit(&call) {
            Ok(position) => position,
            Err(reply) => return reply,
        };
        let Ok(_permit) = self.free_slots.acquire().await else {
            return self.core.refuse(position, "closed");
        };
        let millis = self.core.control().delay_ms;
        actix_rt::time::sleep(self.core.service_time(millis)).await;
        self.core.ledger().apply_posting(&call);
        if self.core.control().die_after_work {
            crash();
        }
        self.core.ledger().record_end(position, CallOutcome::Done);
        self.build_reply(&call)
    }

    /// Builds the answer to a call, with the faults that the control wants.
    fn build_reply(&self, call: &TargetCall) -> HttpReply {
        let identity = &call.identity;
        let rule = EchoRule::new(&identity.customer, &identity.request, &call.input);
        let answer = PlainAnswer {
            identity: self.core.stated_identity(identity),
            output: rule.plain_answer(&call.name),
        };
        let previous = self.previous_answer.replace(Some(answer.clone()));
        let answer = match previous {
            Some(previous) if self.core.control().reply_twice => previous,
            _ => answer,
        };
        let digest = AnswerDigest::of(&answer.output);
        let mut output = answer.output;
        if self.core.control().cut_answer {
            output.truncate(output.len() / 2);
        }
        let mut reply = Response::with_body(StatusCode::OK, output.boxed());
        put_identity(&mut reply, &answer.identity);
        put_header(&mut reply, LENGTH_HEADER, digest.length().to_string());
        put_header(&mut reply, DIGEST_HEADER, digest.hex());
        reply
    }
}
