use {
    crate::sheet_folder::SheetFolder,
    anyhow::bail,
    entry::EntrySettings,
    setup::{StartError, load_settings},
    sheet::FleetSheet,
};

/// Check a sheet or the settings of an entry, and print the errors found with their lines and
/// keys.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "check")]
pub struct CheckArgs {
    /// folder of a sheet, or its index file; the part with key `a/b` is read from the file `b.toml`
    /// in the sheet's folder
    #[argh(option)]
    sheet: Option<String>,
    /// settings file of an entry
    #[argh(option)]
    settings: Option<String>,
}

/// Checks the sheet and the settings that the arguments name; fails on an invalid one.
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
                "{path}: refused, {count} errors"
            )))
        }
    }
}
