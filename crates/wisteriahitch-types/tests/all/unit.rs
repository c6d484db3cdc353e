//! Units: sizes, rates, times and shares.

use wisteriahitch_types::{
    ByteCount, ByteRate, CallRate, DurationUs, Share, TimeUs, TokenCount, TokenRate,
};

struct DurationCase {
    rate_per_s: u64,
    amount: u64,
    expected: DurationUs,
}

#[test]
fn rates_give_durations() {
    let cases = [
        DurationCase {
            rate_per_s: 1_000,
            amount: 500,
            expected: DurationUs::from_ms(500),
        },
        DurationCase {
            rate_per_s: 0,
            amount: 0,
            expected: DurationUs::ZERO,
        },
        DurationCase {
            rate_per_s: 0,
            amount: 1,
            expected: DurationUs::MAX,
        },
    ];
    for case in cases {
        let bytes = ByteRate::new(case.rate_per_s).time_for(ByteCount::new(case.amount));
        let tokens = TokenRate::new(case.rate_per_s).time_for(TokenCount::new(case.amount));
        assert_eq!(bytes, case.expected);
        assert_eq!(tokens, case.expected);
    }
}

#[test]
fn arithmetic_saturates_at_the_bounds() {
    assert_eq!(ByteCount::new(1) - ByteCount::new(2), ByteCount::ZERO);
    assert_eq!(DurationUs::MAX + DurationUs::new(1), DurationUs::MAX);
    assert_eq!(TimeUs::new(5).since(TimeUs::new(9)), DurationUs::ZERO);
    assert_eq!(DurationUs::from_secs_f64(-1.0), DurationUs::ZERO);
}

#[test]
fn text_forms_include_the_unit() {
    assert_eq!(TokenCount::new(2_000).to_string(), "2000 tokens");
    assert_eq!(
        "2000 tokens".parse::<TokenCount>(),
        Ok(TokenCount::new(2_000))
    );
    assert_eq!("2000".parse::<TokenCount>(), Ok(TokenCount::new(2_000)));
    assert_eq!(
        "two".parse::<ByteRate>().unwrap_err().to_string(),
        "expected a whole number of bytes a second, such as 1000000 B/s"
    );
}

#[test]
fn shares_lie_between_zero_and_one() {
    assert!(Share::try_from(1.1).is_err());
    assert!(Share::try_from(f64::NAN).is_err());
    assert_eq!("0.25".parse::<Share>().unwrap().get(), 0.25);
}

#[test]
fn call_rates_are_finite_and_not_negative() {
    struct Case {
        text: &'static str,
        per_s: Option<f64>,
    }
    let good = [("2.1", 2.1), ("0", 0.0), ("0.3", 0.3), ("1e9", 1e9)];
    let bad = ["", "-1", "NaN", "inf", "2,1", "two", "2.1 a second"];
    let good = good.map(|(text, per_s)| Case {
        text,
        per_s: Some(per_s),
    });
    let bad = bad.map(|text| Case { text, per_s: None });
    for case in good.into_iter().chain(bad) {
        let rate = case.text.parse::<CallRate>().ok();
        assert_eq!(rate.map(CallRate::per_s), case.per_s, "{}", case.text);
    }
    assert_eq!(
        "2.5".parse::<CallRate>().unwrap().to_string(),
        "2.5 calls/s"
    );
}
