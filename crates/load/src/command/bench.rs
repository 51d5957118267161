use {
    crate::drive::{BenchDriver, CallRoute},
    anyhow::Context,
    load::{BenchReport, CustomerLoad, PipelineLoad, WorkloadFile},
    setup::StartError,
    std::{fs, rc::Rc, time::Duration},
};

/// Number of concurrent callers in the sustained-rate measurement of a unary pipeline.
const UNARY_CALLERS: usize = 64;
/// Number of concurrent callers in the sustained-rate measurement of a streamed pipeline.
const STREAM_CALLERS: usize = 100;

/// Measure the latency that an entry adds to direct calls to the same stand-ins, and the rate
/// that it sustains.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchArgs {
    /// workload file; its pipelines with one stage are also called directly
    #[argh(option)]
    workload: String,
    /// address at which the entry serves callers
    #[argh(option)]
    entry: String,
    /// address of a plain stand-in
    #[argh(option)]
    plain: String,
    /// address of an engine stand-in
    #[argh(option)]
    engine: String,
    /// id of a process whose CPU time is measured, for instance the entry's; may be repeated
    #[argh(option)]
    pid: Vec<u32>,
    /// calls per second on each route, direct and through the entry (default 500)
    #[argh(option, default = "500.0")]
    rate: f64,
    /// seconds for each measurement (default 5)
    #[argh(option, default = "5.0")]
    seconds: f64,
    /// file to write the report to, in JSON
    #[argh(option)]
    json: Option<String>,
}

/// Runs all measurements one after another, prints the report and writes it to the file if one
/// is given.
pub async fn bench(args: BenchArgs) -> anyhow::Result<()> {
    let workload = WorkloadFile::load(&args.workload)?;
    let duration = Duration::try_from_secs_f64(args.seconds)
        .map_err(|error| StartError::Settings(format!("--seconds: {error}")))?;
    let is_valid_rate = args.rate.is_finite() && args.rate > 0.0;
    if !is_valid_rate {
        return Err(StartError::Settings(String::from(
            "--rate must be a finite number above zero",
        ))
        .into());
    }
    let driver = BenchDriver::new(first_customer(&workload)?);
    let mut report = BenchReport::default();
    for pipeline in &workload.pipeline {
        if let [stage] = pipeline.stage.as_slice() {
            let target = if stage.engine {
                &args.engine
            } else {
                &args.plain
            };
            let routes = [
                CallRoute::Direct(target.clone()),
                CallRoute::Entry(args.entry.clone()),
            ];
            let added = driver
                .measure_added_time(pipeline, routes, args.rate, duration)
                .await;
            report.added.insert(pipeline.name.clone(), added);
        }
        add_sustained(&mut report, &driver, pipeline, &args, duration).await;
    }
    print!("{}", report.to_text());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| path.clone())?;
    }
    Ok(())
}

async fn add_sustained(
    report: &mut BenchReport,
    driver: &Rc<BenchDriver>,
    pipeline: &PipelineLoad,
    args: &BenchArgs,
    duration: Duration,
) {
    let callers = if pipeline.stream {
        STREAM_CALLERS
    } else {
        UNARY_CALLERS
    };
    let sustained =
        driver.measure_sustained_rate(pipeline, &args.entry, callers, duration, &args.pid);
    let sustained = sustained.await;
    report.sustained.insert(pipeline.name.clone(), sustained);
}

fn first_customer(workload: &WorkloadFile) -> Result<CustomerLoad, StartError> {
    let no_customer = || StartError::Settings(String::from("the workload has no customer"));
    workload.customer.first().cloned().ok_or_else(no_customer)
}
