use {awc::Client, stand::StandControl};

/// Change the behaviour of a target stand-in.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "control")]
pub struct ControlArgs {
    /// address of the target stand-in
    #[argh(option)]
    target: String,
    /// keys to change, as a JSON object such as `{{"speed": 0.1}}`
    #[argh(option)]
    set: String,
}

/// Checks the keys against those of `StandControl` and sends them to the target.
pub async fn control(args: ControlArgs) -> anyhow::Result<()> {
    StandControl::default().patched(args.set.as_bytes())?;
    let url = format!("http://{}/control", args.target);
    let reply = Client::default().post(url).send_body(args.set).await;
    let reply = reply
        .map_err(|error| anyhow::anyhow!("could not reach target {}: {error}", args.target))?;
    let status = reply.status();
    anyhow::ensure!(
        status.is_success(),
        "target {} answered with status {status}",
        args.target
    );
    Ok(())
}
