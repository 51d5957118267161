use {
    crate::drive::{LoadDriver, RecordReader},
    anyhow::Context,
    load::{
        ArrivalSchedule, CostTally, LoadReport, LoadTally, PostingAudit, ScheduleParameters,
        WorkloadFile,
    },
    setup::StartError,
    std::{fs, rc::Rc, time::Duration},
};

/// Send a workload to the entries and report how its requests ended.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "run")]
pub struct RunArgs {
    /// workload file (TOML)
    #[argh(option)]
    workload: String,
    /// address at which an entry serves callers; may be repeated
    #[argh(option)]
    entry: Vec<String>,
    /// seed of the schedule (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// seconds over which requests arrive, in place of the workload's own duration
    #[argh(option)]
    duration: Option<f64>,
    /// factor by which all rates are multiplied
    #[argh(option, default = "1.0")]
    scale: f64,
    /// factor by which one customer's rates are multiplied, as `customer=factor`; may be repeated
    #[argh(option)]
    customer_scale: Vec<String>,
    /// label of this run in reports
    #[argh(option, default = "String::from(\"plain\")")]
    case: String,
    /// address of a target stand-in whose call records are read after the run; may be repeated
    #[argh(option)]
    records: Vec<String>,
    /// address of an entry that may be killed during the run: broken connections to it do not count
    /// as faults; may be repeated
    #[argh(option)]
    may_die: Vec<String>,
    /// file to write the report to, in JSON
    #[argh(option)]
    json: Option<String>,
    /// exit with an error if the report counts any fault
    #[argh(switch)]
    strict: bool,
}

/// Runs a workload, prints the report and writes it to the file if one is given.
///
/// # Errors
///
/// Fails on wrong arguments or files and, with `--strict`, if the run had a fault.
pub async fn run(args: RunArgs) -> anyhow::Result<()> {
    let workload = WorkloadFile::load(&args.workload)?;
    if args.entry.is_empty() {
        return Err(StartError::Settings(String::from("give at least one --entry")).into());
    }
    let parameters = parse_parameters(&args, &workload)?;
    let schedule = ArrivalSchedule::draw(&workload, &parameters);
    let name = workload.name.clone();
    let driver = Rc::new(LoadDriver::new(workload, args.entry.clone()));
    let tally = driver.run(schedule).await;
    let mut report = LoadReport::from_tally(&tally, &args.may_die);
    report.workload = name;
    report.case = args.case.clone();
    report.seed = args.seed;
    report.seconds = parameters.duration.as_secs_f64();
    add_records(&mut report, &tally, &args.records).await;
    print!("{}", report.to_text());
    if let Some(path) = &args.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| path.clone())?;
    }
    let faults = report.faults.total();
    anyhow::ensure!(!args.strict || faults == 0, "{faults} faults in this run");
    Ok(())
}

fn parse_parameters(
    args: &RunArgs,
    workload: &WorkloadFile,
) -> Result<ScheduleParameters, StartError> {
    let duration = match args.duration {
        Some(seconds) => Duration::try_from_secs_f64(seconds)
            .map_err(|error| StartError::Settings(format!("--duration {seconds}: {error}")))?,
        None => workload.duration,
    };
    let mut parameters = ScheduleParameters::new(args.seed, duration);
    parameters.rate_factor = args.scale;
    for text in &args.customer_scale {
        let pair = text.split_once('=').and_then(|(name, factor)| {
            let factor = factor.parse().ok()?;
            workload
                .customer(name)
                .map(|customer| (customer.name.clone(), factor))
        });
        let Some((name, factor)) = pair else {
            let message =
                format!("--customer-scale `{text}` is not `customer=factor` with a known customer");
            return Err(StartError::Settings(message));
        };
        parameters.customer_rate_factors.insert(name, factor);
    }
    Ok(parameters)
}

/// Adds the cost of each kind of call and the faults of postings, the side effects that targets
/// record, both as read from the targets.
async fn add_records(report: &mut LoadReport, tally: &LoadTally, targets: &[String]) {
    let reader = RecordReader::new();
    let mut costs = CostTally::new(tally.attained_keys().clone());
    let mut audit = PostingAudit::new();
    for address in targets {
        match reader.read(address).await {
            Some(target) => {
                costs.add_target(&target.records, &target.control);
                audit.add_target(&target.postings);
            }
            None => report.silent_targets.push(address.clone()),
        }
    }
    report.stages = costs.stages().clone();
    if targets.is_empty() {
        return;
    }
    report.faults.doubled = audit.doubled().len() as u64;
    report.faults.lost = audit.lost(tally).len() as u64;
    report.faults.ran_though_refused = audit.ran_though_refused(tally).len() as u64;
}
