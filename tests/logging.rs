//! Log lines: key=value pairs that can be told apart.

use log::{Level, Record};
use radishpin_cli::format_record;
use std::time::{Duration, UNIX_EPOCH};

#[test]
fn a_record_is_one_line_of_pairs() {
    let pairs = [("request_id", "r-1"), ("reason", "queue \"full\"\nnow")];
    let mut line = Vec::new();
    let time = UNIX_EPOCH + Duration::from_millis(1_500);
    format_record(
        &mut line,
        time,
        &Record::builder()
            .level(Level::Warn)
            .target("radishpin_server::node")
            .args(format_args!("request refused"))
            .key_values(&pairs)
            .build(),
    )
    .unwrap();
    insta::assert_snapshot!(
        String::from_utf8(line).unwrap(),
        @r#"time=1970-01-01T00:00:01.500Z level=warn target=radishpin_server::node msg="request refused" request_id=r-1 reason="queue \"full\"\nnow""#
    );
}
