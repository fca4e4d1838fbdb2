//! Checks that the product meets the targets of the four measures in each overload case, for
//! several seeds. The bounds are those of the stated targets.

use std::process::Command;

use rstest::rstest;

#[rstest]
fn the_product_meets_the_targets(
    #[values("slow", "surge", "greedy", "death", "log", "home")] case: &str,
    #[values("1", "2", "3")] seed: &str,
) {
    let output = Command::new(env!("CARGO_BIN_EXE_marigoldhatch-bench"))
        .args([
            "policies",
            "--product-only",
            "--check",
            "--case",
            case,
            "--seed",
            seed,
        ])
        .output()
        .expect("failed to run the benchmark");
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}");
}
