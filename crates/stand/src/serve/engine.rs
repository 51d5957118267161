use {
    super::{
        batch_slots::BatchSlots,
        call_ledger::CallLedger,
        engine_orders::EngineOrders,
        engine_stream::EngineStream,
        prefix_cache::PrefixCache,
        stand_server::{HalfClosePolicy, serve_stand},
        target_call::TargetCall,
        target_core::{TargetCore, put_identity},
    },
    actix_http::{
        Method, Request, Response, StatusCode,
        body::{BodyStream, MessageBody},
        header::{CONTENT_TYPE, HeaderValue},
    },
    setup::{HttpReply, ReadyLine, RequestBody, json_reply, read_body, text_reply},
    stand::{EngineOrder, StandControl},
    std::{
        cell::{Cell, RefCell},
        path::PathBuf,
        rc::Rc,
        time::Duration,
    },
    tokio::net::TcpListener,
};

/// Size limit of the body of an order.
const MAX_ORDER_BYTES: usize = 1024 * 1024;
/// Time in which the body of an order must arrive.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Run a model engine, which streams tokens, batches streams, caches prompt prefixes and takes
/// orders.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// name of the target
    #[argh(option)]
    name: String,
    /// address to listen at
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// number of streams that run at once; others wait
    #[argh(option, default = "8")]
    slots: usize,
    /// time between two tokens of a stream that runs alone, in milliseconds
    #[argh(option, default = "5.0")]
    token_ms: f64,
    /// share of --token-ms that each further running stream adds to the time between tokens
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
    /// divisor of every time
    #[argh(option, default = "1.0")]
    speed: f64,
    /// period in milliseconds at which the reported load is sampled; 0 reports the current load
    #[argh(option, default = "0")]
    load_lag_ms: u64,
    /// number of leading bytes of a prompt that are its prefix
    #[argh(option, default = "64")]
    prefix_bytes: usize,
    /// number of prefixes that the cache holds
    #[argh(option, default = "64")]
    cached_prefixes: usize,
    /// model that is loaded at the start; may be repeated
    #[argh(option)]
    model: Vec<String>,
    /// refuse orders whose fencing token is not above the last one
    #[argh(switch)]
    checks_orders: bool,
    /// seed of the random choices
    #[argh(option, default = "0")]
    seed: u64,
    /// file that keeps the applied postings across restarts
    #[argh(option)]
    journal: Option<PathBuf>,
}

/// State of an engine process.
pub struct Engine {
    /// State that it has in common with plain services.
    pub core: TargetCore,
    /// Slots of the batch.
    pub slots: Rc<BatchSlots>,
    /// Prompt prefixes that are cached.
    pub cache: RefCell<PrefixCache>,
    orders: EngineOrders,
    /// True while a task loads models.
    is_loading: Cell<bool>,
    /// Period at which the reported load is sampled; zero reports the current load.
    sample_period: Duration,
    sampled_load: Cell<f64>,
}

/// Runs an engine.
pub async fn run_engine(args: EngineArgs) -> anyhow::Result<()> {
    let listener = TcpListener::bind(&args.listen).await?;
    let ready =
        ReadyLine::new("camphor-stand", &args.name).with_address("calls", listener.local_addr()?);
    let engine = Rc::new(Engine::new(args)?);
    ready.print()?;
    let connections = engine.core.connections();
    let server_engine = Rc::clone(&engine);
    let handler = move |request| Rc::clone(&server_engine).answer(request);
    tokio::join!(
        serve_stand(listener, connections, HalfClosePolicy::Cancel, handler),
        engine.sample_load(),
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
            slots: BatchSlots::new(args.slots),
            cache: RefCell::new(PrefixCache::new(args.prefix_bytes, args.cached_prefixes)),
            orders: EngineOrders::new(args.model, args.checks_orders),
            is_loading: Cell::new(false),
            sample_period: Duration::from_millis(args.load_lag_ms),
            sampled_load: Cell::new(0.0),
        })
    }

    /// Samples the load once per period; returns at once if the period is zero.
    async fn sample_load(&self) {
        while !self.sample_period.is_zero() {
            self.sampled_load.set(self.slots.load());
            actix_rt::time::sleep(self.sample_period).await;
        }
    }

    /// Load that the engine reports.
    fn load(&self) -> f64 {
        if self.sample_period.is_zero() {
            self.slots.load()
        } else {
            self.sampled_load.get()
        }
    }

    async fn answer(self: Rc<Self>, request: Request) -> HttpReply {
        match (request.method().clone(), request.path()) {
            (Method::POST, "/call") => {
                let mut reply = match TargetCall::read(request).await {
                    Ok(call) => self.run_call(call),
                    Err(detail) => text_reply(StatusCode::BAD_REQUEST, detail),
                };
                self.core.put_status_headers(&mut reply, self.load());
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

    /// Admits a call and returns the reply that streams its answer.
    fn run_call(self: &Rc<Self>, call: TargetCall) -> HttpReply {
        let position = match self.core.admit(&call) {
            Ok(position) => position,
            Err(reply) => return reply,
        };
        let missing_model = call.model.as_ref().filter(|name| !self.orders.serves(name));
        if let Some(name) = missing_model {
            let detail = format!("model {name} is not loaded");
            return self.core.refuse(position, &detail);
        }
        let identity = self.core.stated_identity(&call.identity);
        let stream = EngineStream::new(Rc::clone(self), call, position);
        let body = BodyStream::new(Box::pin(stream.into_lines()));
        let mut reply = Response::with_body(StatusCode::OK, body.boxed());
        let content_type = HeaderValue::from_static("application/x-ndjson");
        reply.headers_mut().insert(CONTENT_TYPE, content_type);
        put_identity(&mut reply, &identity);
        reply
    }

    /// Applies an order and starts loading the models that it adds; a refused order gets a 409.
    async fn take_order(self: Rc<Self>, mut request: Request) -> HttpReply {
        let body = read_body(
            &mut RequestBody::take(&mut request),
            MAX_ORDER_BYTES,
            ORDER_TIMEOUT,
        )
        .await;
        let order: EngineOrder = match serde_json::from_slice(&body.unwrap_or_default()) {
            Ok(order) => order,
            Err(error) => return text_reply(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if !self.orders.apply(order) {
            return json_reply(StatusCode::CONFLICT, &self.orders.state());
        }
        if !self.is_loading.replace(true) {
            actix_rt::spawn(Rc::clone(&self).load_models());
        }
        json_reply(StatusCode::OK, &self.orders.state())
    }

    /// Loads one model after another until none is left.
    async fn load_models(self: Rc<Self>) {
        while let Some(name) = self.orders.begin_load() {
            let millis = self.core.control().load_ms;
            actix_rt::time::sleep(self.core.service_time(millis)).await;
            self.orders.end_load(&name);
        }
        self.is_loading.set(false);
    }
}
