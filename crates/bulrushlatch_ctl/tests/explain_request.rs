//! Explaining the outcome of a request from log lines.

use bulrushlatch_ctl::explain_request::explain_request;

fn explain(id: &str, lines: &[&str]) -> Result<String, String> {
    explain_request(id, lines.join("\n").as_bytes())
}

#[test]
fn a_request_refused_under_overload_is_explained() {
    let lines = [
        r#"entry-1 {"timestamp":"02","message":"answered","job":"a1","took_ms":0,"answer":"refused"}"#,
        r#"entry-1 {"timestamp":"01","message":"refused on arrival","job":"a1","patience_ms":79,"wait_ms":122}"#,
        r#"entry-1 {"timestamp":"03","message":"answered","job":"a2","took_ms":0,"answer":"completed"}"#,
    ];
    let explanation = explain("a1", &lines).expect("lines are about it");
    let shown: Vec<&str> = explanation.lines().collect();
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
    let explanation = explain("a1", &lines).expect("lines are about it");
    assert!(
        explanation.ends_with("cause: out of attempts: task a1/0/2 failed 4 of 4 times"),
        "{explanation}"
    );
}

#[test]
fn a_request_without_an_answer_is_explained() {
    let lines = [
        r#"{"timestamp":"01","message":"taken","job":"a1"}"#,
        r#"{"timestamp":"02","message":"run started","task":"a1/0/0","attempt":1}"#,
    ];
    let explanation = explain("a1", &lines).expect("lines are about it");
    assert!(explanation.contains("cause: no answer: the entry ended with it"), "{explanation}");
    assert!(explanation.contains("1 runs started"), "{explanation}");
}

#[test]
fn a_request_without_log_lines_is_an_error() {
    let error = explain("a1", &[r#"{"timestamp":"01","message":"taken","job":"a11"}"#]);
    assert!(error.is_err_and(|error| error.contains("a1")));
}

#[test]
fn late_jobs_are_told_from_those_refused_on_arrival() {
    let outcome = |answer: &str| {
        let log = [
            r#"{"timestamp":"01","message":"taken, will be late","job":"a1"}"#.to_owned(),
            format!(
                r#"{{"timestamp":"02","message":"answered","job":"a1","took_ms":300,{answer}}}"#
            ),
        ];
        let log: Vec<&str> = log.iter().map(String::as_str).collect();
        explain("a1", &log).expect("the job is in the log")
    };
    let completed = outcome(r#""answer":"completed""#);
    assert!(completed.contains("completed in 300 ms, after jobs"), "{completed}");
    let refused = outcome(r#""answer":"refused""#);
    assert!(refused.contains("refused after 300 ms"), "{refused}");
}
