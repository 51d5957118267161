use {
    super::{
        call_ledger::CallLedger,
        engine_cache::EngineCache,
        engine_floor::EngineFloor,
        engine_orders::EngineOrders,
        engine_stream::EngineStream,
        stand_server::{CallerEnd, serve_stand},
        target_call::TargetCall,
        target_core::{TargetCore, put_identity},
    },
    actix_http::{
        Method, Request, Response, StatusCode,
        body::{BodyStream, MessageBody},
        header::{CONTENT_TYPE, HeaderValue},
    },
    setup::{HttpReply, ReadyLine, json_reply, read_body, text_reply},
    stand::{EngineOrder, StandControl},
    std::{
        cell::{Cell, RefCell},
        path::PathBuf,
        rc::Rc,
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Longest order that is read, in bytes.
const ORDER_LIMIT: usize = 1024 * 1024;
/// Time in which an order must arrive.
const ORDER_TIME: Duration = Duration::from_secs(5);

/// A model engine: it streams tokens, batches, caches prefixes and takes orders.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// name of the target
    #[argh(option)]
    name: String,
    /// address to listen at
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// streams that run at once; others wait
    #[argh(option, default = "8")]
    slots: usize,
    /// time between two tokens of a lone stream in milliseconds
    #[argh(option, default = "5.0")]
    token_ms: f64,
    /// share by which each further stream lengthens the time between tokens
    #[argh(option, default = "0.05")]
    batch_cost: f64,
    /// time before the first token of a prompt that is not cached, in milliseconds
    #[argh(option, default = "0.0")]
    prefill_ms: f64,
    /// time that loading one model takes, in milliseconds
    #[argh(option, default = "0.0")]
    load_ms: f64,
    /// random spread of the times, from 0 to 1
    #[argh(option, default = "0.0")]
    spread: f64,
    /// every time is divided by this
    #[argh(option, default = "1.0")]
    speed: f64,
    /// age that the reported load may have, in milliseconds
    #[argh(option, default = "0")]
    load_lag_ms: u64,
    /// bytes of a prompt that make up its prefix
    #[argh(option, default = "64")]
    prefix_bytes: usize,
    /// prefixes that are cached at once
    #[argh(option, default = "64")]
    cached_prefixes: usize,
    /// model that is loaded at the start; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// refuse orders with an old fencing number
    #[argh(switch)]
    checks_orders: bool,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
    /// file in which applied postings outlive the process
    #[argh(option)]
    journal: Option<PathBuf>,
}

/// State of the engine.
pub struct Engine {
    /// What it shares with plain services.
    pub core: TargetCore,
    /// Slots of the batch.
    pub floor: Rc<EngineFloor>,
    /// Prefixes that are cached.
    pub cache: RefCell<EngineCache>,
    orders: EngineOrders,
    loading: Cell<bool>,
    lag: Duration,
    reported: Cell<f64>,
}

/// Runs an engine.
pub async fn run_engine(args: EngineArgs) -> anyhow::Result<()> {
    let listener = TcpListener::bind(&args.listen).await?;
    let ready =
        ReadyLine::new("camphor-stand", &args.name).with_address("calls", listener.local_addr()?);
    let engine = Rc::new(Engine::new(args)?);
    ready.print()?;
    let connections = engine.core.connections();
    let answering = Rc::clone(&engine);
    let handler = move |request| Rc::clone(&answering).answer(request);
    tokio::join!(
        serve_stand(listener, connections, CallerEnd::Cancels, handler),
        engine.report_load(),
    );
    Ok(())
}

impl Engine {
    fn new(args: EngineArgs) -> anyhow::Result<Self> {
        let control = StandControl {
            token_ms: args.token_ms,
            prefill_ms: args.prefill_ms,
            load_ms: args.load_ms,
            batch_cost: args.batch_cost,
            spread: args.spread,
            speed: args.speed,
            ..StandControl::default()
        };
        let ledger = CallLedger::open(args.journal.as_ref())?;
        Ok(Self {
            core: TargetCore::new(control, ledger, args.seed),
            floor: EngineFloor::new(args.slots),
            cache: RefCell::new(EngineCache::new(args.prefix_bytes, args.cached_prefixes)),
            orders: EngineOrders::new(args.model, args.checks_orders),
            loading: Cell::new(false),
            lag: Duration::from_millis(args.load_lag_ms),
            reported: Cell::new(0.0),
        })
    }

    /// Takes a sample of the load whenever the last one has reached its age.
    async fn report_load(&self) {
        while !self.lag.is_zero() {
            self.reported.set(self.floor.load());
            actix_rt::time::sleep(self.lag).await;
        }
    }

    fn load(&self) -> f64 {
        if self.lag.is_zero() {
            self.floor.load()
        } else {
            self.reported.get()
        }
    }

    async fn answer(self: Rc<Self>, request: Request) -> HttpReply {
        match (request.method().clone(), request.path()) {
            (Method::POST, "/call") => {
                let mut reply = match TargetCall::read(request).await {
                    Ok(call) => self.run(call),
                    Err(detail) => text_reply(StatusCode::BAD_REQUEST, detail),
                };
                self.core.put_state(&mut reply, self.load());
                reply
            }
            (Method::GET, "/engine") => json_reply(StatusCode::OK, &self.orders.state()),
            (Method::POST, "/engine/order") => self.take_order(request).await,
            _ => {
                let models = self.orders.state().models;
                self.core.answer_common(request, self.load(), &models).await
            }
        }
    }

    fn run(self: &Rc<Self>, call: TargetCall) -> HttpReply {
        let position = match self.core.admit(&call) {
            Ok(position) => position,
            Err(reply) => return reply,
        };
        let missing = call.model.as_ref().filter(|name| !self.orders.serves(name));
        if let Some(name) = missing {
            let detail = format!("model {name} is not loaded");
            return self.core.refuse(position, &detail);
        }
        let identity = self.core.stated_identity(&call.identity);
        let stream = EngineStream::new(Rc::clone(self), call, position);
        let body = BodyStream::new(Box::pin(stream.into_lines()));
        let mut reply = Response::with_body(StatusCode::OK, body.boxed());
        let kind = HeaderValue::from_static("application/x-ndjson");
        reply.headers_mut().insert(CONTENT_TYPE, kind);
        put_identity(&mut reply, &identity);
        reply
    }

    async fn take_order(self: Rc<Self>, mut request: Request) -> HttpReply {
        let body = read_body(request.take_payload(), ORDER_LIMIT, ORDER_TIME).await;
        let order: EngineOrder = match serde_json::from_slice(&body.unwrap_or_default()) {
            Ok(order) => order,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if !self.orders.obey(order) {
            return json_reply(StatusCode::CONFLICT, &self.orders.state());
        }
        if !self.loading.replace(true) {
            actix_rt::spawn(Rc::clone(&self).load_models());
        }
        json_reply(StatusCode::OK, &self.orders.state())
    }

    /// Loads one model after another until none is left to load.
    async fn load_models(self: Rc<Self>) {
        while let Some(name) = self.orders.begin_load() {
            let millis = self.core.control().load_ms;
            actix_rt::time::sleep(self.core.service_time(millis)).await;
            self.orders.end_load(&name);
        }
        self.loading.set(false);
    }
}
