//! Measures how the cost of each mechanism grows with its size; `docs/CAPACITY.md` computes the
//! supported size from these slopes. Prints a table for each mechanism; seeds are fixed.
//!
//! `cargo build --release --workspace && cargo run --release -p proofs --example capacity`

#[path = "../../../sheet/tests/common/mod.rs"]
mod common;
mod customer_slopes;
mod daemon_points;
#[path = "../../../member/tests/fleet/mod.rs"]
mod fleet;
mod fresh_memory;
mod line_fit;
mod member_slopes;
mod process_stats;
mod service_slopes;
#[allow(dead_code)]
#[path = "../../../sheet/tests/common/sheet_sim.rs"]
mod sheet_sim;
mod sheet_slopes;
mod target_slopes;

use {
    line_fit::LineFit,
    process_stats::load_averages,
    std::time::{Duration, Instant},
};

/// Numbers of entries in the fleet.
const MEMBERS: [usize; 4] = [8, 32, 128, 370];
/// Numbers of customers in the sheet.
const CUSTOMERS: [usize; 4] = [100, 1_000, 10_000, 31_000];
/// Numbers of targets in a pool.
const TARGETS: [usize; 3] = [30, 150, 600];
/// Numbers of successive changes of the sheet.
const CHANGE_COUNTS: [usize; 4] = [1, 16, 160, 1_600];

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [what, size] = arguments.as_slice() {
        return fresh_memory::print_bytes(what, size.parse()?);
    }
    let begin = Instant::now();
    println!("load average before: {}", load_averages());
    let sections: [(&str, fn()); 6] = [
        ("customers", customer_slopes::print),
        ("targets", target_slopes::print),
        ("sheet", sheet_slopes::print),
        ("service", service_slopes::print),
        ("members", member_slopes::print),
        ("memory", fresh_memory::print),
    ];
    for (name, print_section) in sections {
        let start = Instant::now();
        print_section();
        println!("\n{name}: {:.0} s", start.elapsed().as_secs_f64());
    }
    daemon_points::print().await?;
    println!("\nload average after: {}", load_averages());
    println!("whole run: {:.0} s", begin.elapsed().as_secs_f64());
    Ok(())
}

/// Prints the points of a figure and the line that fits them.
fn print_figure(figure: &str, by: &str, points: &[(f64, f64)]) {
    let fit = LineFit::new(points);
    let values: Vec<String> = points.iter().map(|(_, y)| format!("{y:.4}")).collect();
    println!(
        "| {figure} | {by} | {} | {:.6} | {:.4} | {:.4} |",
        values.join(", "),
        fit.slope,
        fit.intercept,
        fit.residual
    );
}

/// Prints the heading of a table with the sizes of its points.
fn print_heading(title: &str, sizes: &[usize]) {
    println!("\n## {title}, at {sizes:?}\n");
    println!("| figure | by | points | slope | intercept | residual |");
    println!("|---|---|---|---|---|---|");
}

/// Returns the mean time of a call in microseconds, over this number of calls.
fn mean_micros(count: u32, mut call: impl FnMut(u32)) -> f64 {
    let begin = Instant::now();
    for number in 0..count {
        call(number);
    }
    micros(begin.elapsed()) / f64::from(count)
}

fn micros(time: Duration) -> f64 {
    time.as_secs_f64() * 1e6
}
