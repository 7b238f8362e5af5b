//! From log lines to what became of a request.

use bulrushlatch_ctl::explain_request::request_story;

fn story(id: &str, lines: &[&str]) -> Result<String, String> {
    request_story(id, lines.join("\n").as_bytes())
}

#[test]
fn a_request_refused_under_overload_is_explained() {
    let lines = [
        r#"entry-1 {"timestamp":"02","message":"answered","job":"a1","took_ms":0,"answer":"refused"}"#,
        r#"entry-1 {"timestamp":"01","message":"refused on arrival","job":"a1","patience_ms":79,"wait_ms":122}"#,
        r#"entry-1 {"timestamp":"03","message":"answered","job":"a2","took_ms":0,"answer":"completed"}"#,
    ];
    let story = story("a1", &lines).expect("lines name it");
    let shown: Vec<&str> = story.lines().collect();
    assert_eq!(shown[0], "01 entry-1 refused on arrival job=a1 patience_ms=79 wait_ms=122");
    assert_eq!(shown.len(), 3);
    let cause =
        "cause: refused under overload: 122 ms of waiting expected, 79 ms possible; not run";
    assert_eq!(shown[2], cause);
}

#[test]
fn a_request_out_of_attempts_names_its_task() {
    let lines = [
        r#"{"timestamp":"01","message":"run ended","task":"a1/0/2","attempt":1,"outcome":"failed"}"#,
        r#"{"timestamp":"02","message":"job failed","job":"a1","task":"a1/0/2","runs":4,"max_failed_runs":4}"#,
        r#"{"timestamp":"03","message":"answered","job":"a1","took_ms":83,"answer":"failed"}"#,
        "not a log line",
    ];
    let story = story("a1", &lines).expect("lines name it");
    assert!(story.ends_with("cause: out of attempts: task a1/0/2 failed 4 of 4 times"), "{story}");
}

#[test]
fn a_request_lost_with_its_entry_has_no_answer() {
    let lines = [
        r#"{"timestamp":"01","message":"taken","job":"a1"}"#,
        r#"{"timestamp":"02","message":"run started","task":"a1/0/0","attempt":1}"#,
    ];
    let story = story("a1", &lines).expect("lines name it");
    assert!(story.contains("cause: no answer: the entry ended with it"), "{story}");
    assert!(story.contains("1 runs started"), "{story}");
}

#[test]
fn a_request_that_no_line_names_is_an_error() {
    let error = story("a1", &[r#"{"timestamp":"01","message":"taken","job":"a11"}"#]);
    assert!(error.is_err_and(|error| error.contains("a1")));
}
