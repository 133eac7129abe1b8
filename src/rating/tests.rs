//! Tests of pass rates and of merging their counts.

use quickcheck::TestResult;

use super::*;
use crate::fixtures::check_property;

const NOW: Millis = Millis::from_secs(1_000_000);

fn version() -> VersionRef {
    VersionRef::new("small", "v1")
}

fn class() -> ClassId {
    ClassId::from("tags")
}

/// Builds the table of one source; each draw is an outcome in one of four epochs.
fn table(source: u128, draws: &[u8]) -> RatingTable {
    let mut table = RatingTable::new(Incarnation(source));
    for draw in draws {
        let outcome = [Outcome::Pass, Outcome::Fail, Outcome::Missing][usize::from(draw % 3)];
        let at = NOW + Millis(EPOCH_LENGTH.0 * u64::from(draw / 64));
        table.observe(&class(), &version(), Reach::First, outcome, at);
    }
    table
}

fn estimate_first(table: &RatingTable, now: Millis) -> Estimate {
    table.estimate(&class(), &version(), Reach::First, now)
}

// Guards against ratings that are lost or counted twice when reports are reordered or repeated.
#[test]
fn merge_is_commutative_associative_and_idempotent() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn property(a: Vec<u8>, b: Vec<u8>, c: Vec<u8>, cut: usize) -> TestResult {
        let late = NOW + Millis(EPOCH_LENGTH.0 * 8);
        let early = table(1, &a[..cut % (a.len() + 1)]).report();
        let (a, b, c) = (table(1, &a), table(2, &b), table(3, &c));
        let merged = |reports: &[&[Row]]| {
            let mut table = RatingTable::new(Incarnation(9));
            for report in reports {
                table.merge(report, late);
            }
            table
        };
        let (ra, rb, rc) = (a.report(), b.report(), c.report());
        let forward = merged(&[&ra, &rb, &rc]);
        let backward = merged(&[&rc, &early, &rb, &ra, &early, &ra]);
        let nested = merged(&[&ra, &merged(&[&rb, &rc]).rows]);
        TestResult::from_bool(forward == backward && forward == nested)
    }
    check_property(
        11,
        property as fn(Vec<u8>, Vec<u8>, Vec<u8>, usize) -> TestResult,
    );
}

// Guards against missing ratings that raise a pass rate, and against late ratings that are lost.
#[test]
fn missing_ratings_are_no_passes_and_late_ones_count() {
    let mut table = RatingTable::new(Incarnation(1));
    for _ in 0..50 {
        table.observe(&class(), &version(), Reach::First, Outcome::Missing, NOW);
    }
    let unrated = estimate_first(&table, NOW);
    for _ in 0..50 {
        table.observe(&class(), &version(), Reach::First, Outcome::LatePass, NOW);
    }
    let rated = estimate_first(&table, NOW);

    assert_eq!((unrated.mean, unrated.missing), (Ppm(500_000), 50));
    assert!(table.rated_in_time(&class()) < Ppm(100_000));
    assert_eq!((rated.rated, rated.missing), (50, 0));
    assert!(rated.lower > Ppm(900_000));
}

// Guards against old ratings that hide a change of the pass rate.
#[test]
fn evidence_halves_in_thirty_minutes() {
    let table = table(1, &[0; 100]);

    let later = estimate_first(&table, NOW + Millis::from_secs(1_800));

    assert_eq!((estimate_first(&table, NOW).rated, later.rated), (100, 50));
    assert!(later.lower < estimate_first(&table, NOW).lower);
}

// Guards against wrong quantiles; Beta(1, n) has the closed form 1 - (1 - p)^(1/n).
#[test]
fn quantiles_match_closed_forms() {
    for n in [1.0, 2.0, 17.0, 400.0, 90_000.0] {
        let expected = 1.0 - 0.95_f64.powf(1.0 / n);
        assert!((beta::quantile(0.05, 1.0, n) - expected).abs() < 1e-6);
        assert!((beta::quantile(0.95, n, 1.0) - (1.0 - expected)).abs() < 1e-6);
    }
    assert!((beta::quantile(0.5, 3_000.0, 3_000.0) - 0.5).abs() < 1e-6);
}

// Guards against unbounded memory, and against a source whose wrong clock displaces all other counts.
#[test]
fn size_is_bounded_and_far_future_cells_are_dropped() {
    let mut table = RatingTable::new(Incarnation(1));
    for n in 0..2_000_u128 {
        table.merge(&self::table(n, &[0]).report(), NOW);
    }
    let future = self::table(7, &[255]).report();
    table.merge(&future, NOW);
    for n in 0..600 {
        let class = ClassId::from(format!("class-{n}"));
        table.observe(&class, &version(), Reach::First, Outcome::Pass, NOW);
    }

    assert!(table.rows.len() == MAX_ROWS);
    assert!(
        table
            .rows
            .iter()
            .all(|row| row.cells.len() <= MAX_CELLS_PER_ROW)
    );
    let latest_epoch = epoch_of(NOW) + 1;
    assert!(
        table
            .rows
            .iter()
            .all(|row| row.newest_epoch() <= latest_epoch)
    );
}

// Guards against classes that deliver less than their target on average, or far more.
#[test]
fn the_aim_steers_delivered_quality_to_the_target() {
    let target = Permille(930);
    let mut table = RatingTable::new(Incarnation(1));
    // The integers of quickcheck favour extreme values; this sequence covers the range evenly.
    let mut draw = 0_u32;
    let mut good = 0;
    for _ in 0..20_000 {
        // Plans rely on lower bounds; here they deliver 1.5 percentage points more than they aim at.
        let delivered = table.aim(&class(), target).0 + 15_000;
        draw = (draw + 618_034) % 1_000_000;
        good += u32::from(draw < delivered);
        let quality = Ppm(u32::from(draw < delivered) * Ppm::ONE.0);
        table.record_delivered(&class(), target, quality);
    }

    assert!(
        (18_600..18_700).contains(&good),
        "{good} of 20,000 are good"
    );
    assert!(table.aim(&class(), target) < Ppm(930_000));
}
