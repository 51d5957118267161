use {
    crate::sheet_folder::SheetFolder,
    anyhow::bail,
    entry::EntrySettings,
    setup::{StartError, load_settings},
    sheet::FleetSheet,
};

/// Check a sheet or a settings file: every fault is printed with its line and key.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// folder of a sheet, or its index; a part `a/b` is read from `b.toml` beside the index
    #[argh(option)]
    sheet: Option<String>,
    /// settings file of an entry
    #[argh(option)]
    settings: Option<String>,
}

/// Checks what the arguments name.
pub fn check(args: &CheckArgs) -> anyhow::Result<()> {
    if args.sheet.is_none() && args.settings.is_none() {
        bail!(StartError::Settings(String::from(
            "nothing to check; give --sheet or --settings"
        )));
    }
    if let Some(path) = &args.sheet {
        check_sheet(path)?;
    }
    if let Some(path) = &args.settings {
        let settings: EntrySettings = load_settings(path)?;
        settings.check(path)?;
        println!("{path}: good");
    }
    Ok(())
}

fn check_sheet(path: &str) -> anyhow::Result<()> {
    let bundle = SheetFolder::new(path).load()?;
    match FleetSheet::assemble(bundle.index, &bundle.parts) {
        Ok(sheet) => {
            println!(
                "{path}: good: version {}, {} pipelines, {} customers, {} pools, {} targets",
                sheet.version(),
                sheet.pipelines.len(),
                sheet.customers.len(),
                sheet.pools.len(),
                sheet.targets.len()
            );
            Ok(())
        }
        Err(errors) => {
            for error in &errors {
                eprintln!("{error}");
            }
            let count = errors.len();
            bail!(StartError::Settings(format!(
                "{path}: refused, {count} faults"
            )))
        }
    }
}
