use {crate::sheet_folder::SheetFolder, anyhow::bail, setup::StartError, sheet::FleetSheet};

/// Check a sheet and print the index to publish it with.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "index")]
pub struct IndexArgs {
    /// folder of the sheet; a part `b.toml` gets the key `sheet/b`
    #[argh(option)]
    sheet: String,
    /// version of the sheet, above that of every sheet published before
    #[argh(option)]
    version: u64,
}

/// Prints the index of a sheet; fails if the sheet is invalid.
pub fn index(args: &IndexArgs) -> anyhow::Result<()> {
    let bundle = SheetFolder::new(&args.sheet).load_parts(args.version)?;
    if let Err(errors) = FleetSheet::assemble(bundle.index.clone(), &bundle.parts) {
        let (path, count) = (&args.sheet, errors.len());
        bail!(StartError::Settings(format!(
            "{path}: {count} errors; `camphorctl check --sheet {path}` lists them"
        )));
    }
    print!("{}", toml::to_string(&bundle.index)?);
    Ok(())
}
