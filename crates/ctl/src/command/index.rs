use {crate::sheet_folder::SheetFolder, anyhow::bail, setup::StartError, sheet::FleetSheet};

/// Print the index of a sheet that is to be published, after the whole sheet was checked.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "index")]
pub struct IndexArgs {
    /// folder of the sheet; a part `b.toml` gets the key `sheet/b`
    #[argh(option)]
    sheet: String,
    /// version, above that of every sheet published before
    #[argh(option)]
    version: u64,
}

/// Prints the index of a sheet.
pub fn index(args: &IndexArgs) -> anyhow::Result<()> {
    let bundle = SheetFolder::new(&args.sheet).gather(args.version)?;
    if let Err(errors) = FleetSheet::assemble(bundle.index.clone(), &bundle.parts) {
        let (path, count) = (&args.sheet, errors.len());
        bail!(StartError::Settings(format!(
            "{path}: {count} faults; `camphorctl check --sheet {path}` lists them"
        )));
    }
    print!("{}", toml::to_string(&bundle.index)?);
    Ok(())
}
