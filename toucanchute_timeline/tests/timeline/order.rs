use toucanchute_timeline::{Event, Filter, Timeline, to_html, to_text};
use yare::parameterized;

const ROUTER: &str = "\
hlc=100.0000 seq=0 process=router host=bilbao-1 level=info event=request-received request=4be1 customer=desk
hlc=100.0001 seq=1 process=router host=bilbao-1 level=info event=attempt-sent request=4be1 attempt=7-0
hlc=130.0000 seq=2 process=router host=bilbao-1 level=info event=request-settled request=4be1 note=\"a <b> & c\"
";

const ENGINE: &str = "\
hlc=100.0002 seq=0 process=engine host=e-1 level=info event=run-started attempt=7-0
hlc=100.0003 seq=1 process=engine host=e-1 level=info event=run-started attempt=7-1
hlc=120.0000 seq=2 process=engine host=e-1 level=warn event=run-ended attempt=7-0
hlc=121.0000 seq=3 process=eng";

fn timeline() -> Timeline {
    let mut timeline = Timeline::new();
    timeline.add("engine.log", ENGINE.as_bytes());
    timeline.add("router.log", ROUTER.as_bytes());
    timeline
}

fn names(events: &[&Event]) -> Vec<String> {
    let name = |e: &&Event| format!("{}:{}", e.process.host, e.name);
    events.iter().map(name).collect()
}

#[test]
fn causes_come_before_effects() {
    let timeline = timeline();
    let events = timeline.events(&Filter::default());
    let expected = [
        "bilbao-1:request-received",
        "bilbao-1:attempt-sent",
        "e-1:run-started",
        "e-1:run-started",
        "e-1:run-ended",
        "bilbao-1:request-settled",
    ];
    assert_eq!(names(&events), expected);
    let skipped: Vec<String> = timeline.skipped().iter().map(ToString::to_string).collect();
    assert_eq!(skipped, ["engine.log:4: truncated line"]);
}

#[parameterized(
    request = { Filter::default().request("4b"), 5 },
    other_request = { Filter::default().request("5"), 0 },
    customer = { Filter::default().customer("desk"), 1 },
    host = { Filter::default().host("e-1"), 3 },
    event = { Filter::default().event("run-started"), 2 },
    request_on_host = { Filter::default().request("4be1").host("e-1"), 2 },
)]
fn filter(filter: Filter, expected: usize) {
    assert_eq!(timeline().events(&filter).len(), expected);
}

#[test]
fn text_has_one_line_per_event() {
    let timeline = timeline();
    let text = to_text(&timeline.events(&Filter::default().event("request-settled")));
    let expected =
        "       0 ms  bilbao-1/router  request-settled request=4be1 note=\"a <b> & c\"\n";
    assert_eq!(text, expected);
}

#[test]
fn html_is_escaped_and_has_one_lane_per_process() {
    let timeline = timeline();
    let html = to_html(&timeline.events(&Filter::default()));
    assert_eq!(html.matches("class=\"lane\"").count(), 2);
    assert_eq!(html.matches("<circle").count(), 6);
    assert_eq!(html.matches("class=\"link\"").count(), 4);
    assert!(html.contains("a &lt;b&gt; &amp; c"));
    assert!(!html.contains("<b>") && !html.contains("src=") && !html.contains("href="));
}

#[test]
fn empty_logs_have_no_events() {
    let mut timeline = Timeline::new();
    timeline.add("a", b"");
    timeline.add("b", b"\n\r\n");
    assert!(timeline.events(&Filter::default()).is_empty());
    assert!(timeline.skipped().is_empty());
}
