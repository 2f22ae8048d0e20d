//! An engine rejects a request and sends that answer once more, late, while the host repeats the
//! request on the same connection.

use std::{io, net::SocketAddr, thread, time::Duration};

use crate::{
    Outcome,
    client::{Answer, Request, send},
    deployment::{Deployment, MODEL_SERVICE, PLAIN_SERVICE, Recorder},
};

/// The number of ordinary requests to each service, so that the one surplus answer of an engine is
/// under 3 in 100 of its answers.
const ORDINARY_REQUESTS: usize = 120;

/// The largest share of an engine's answers that may be sent twice.
const LARGEST_SHARE: f64 = 0.03;

/// The statuses that promise that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// One kind of request, and the load under which its engine is full for a moment.
struct Part {
    name: &'static str,
    path: &'static str,
    /// The adapters of the ordinary requests, of those that fill the engine, and of the rejected one.
    adapters: [Option<&'static str>; 3],
    deadline: Duration,
    ordinary: &'static str,
    /// The requests that fill the engine.
    filling: (usize, &'static str),
    /// The time after which the engine has taken these, and is full.
    full_after: Duration,
    /// The request that is rejected at first.
    rejected: &'static str,
}

const PARTS: [Part; 2] = [
    Part {
        name: "lookup",
        path: "/lookup/parts",
        adapters: [Some("a2"), Some("a5"), Some("a1")],
        deadline: Duration::from_secs(15),
        ordinary: "events=2&interval_ms=5",
        filling: (6, "events=8&interval_ms=25"),
        full_after: Duration::from_millis(80),
        rejected: "events=10&interval_ms=25",
    },
    Part {
        name: "invoice",
        path: "/invoice/order",
        adapters: [None; 3],
        deadline: Duration::from_millis(1500),
        ordinary: "work_ms=5",
        filling: (6, "work_ms=150"),
        full_after: Duration::from_millis(110),
        rejected: "work_ms=40",
    },
];

impl Part {
    fn request(&self, id: String, adapter: Option<&'static str>, body: &str) -> Request {
        let (path, body) = (self.path.to_owned(), body.to_owned());
        let deadline = self.deadline;
        Request { id, method: "POST", path, adapter, deadline, body }
    }
}

/// Runs the case.
pub fn run(trouble: bool) -> io::Result<Outcome> {
    let mut deployment = Deployment::new(2)?;
    // One engine of each service repeats an answer: the one that holds the adapter, and the server
    // that gets the rejected request.
    deployment.start_engine(MODEL_SERVICE, 4, 2, "a1,a2,a5")?;
    deployment.start_engine(MODEL_SERVICE, 4, 2, "a3,a4")?;
    deployment.start_engine(PLAIN_SERVICE, 2, 1, "")?;
    deployment.start_engine(PLAIN_SERVICE, 2, 1, "")?;
    deployment.start_hosts()?;
    let recorder = deployment.recorder.clone();
    let addresses = [deployment.hosts[0].client_address, deployment.hosts[1].client_address];
    let mut breaks = Vec::new();
    for part in &PARTS {
        let answers = run_part(part, addresses, &recorder, trouble);
        // What engines tell arrives a moment later.
        thread::sleep(Duration::from_millis(1500));
        for (id, answer) in &answers {
            breaks.extend(check(id, answer.as_ref().ok(), &recorder));
        }
        deployment.record_log(&format!("{}-rejected", part.name));
        record_share(&recorder, part.name)?;
    }
    Ok(Outcome { recorder, breaks })
}

/// Sends the requests of a part; those that fill the engine come through the second host.
fn run_part(
    part: &Part,
    [address, other_address]: [SocketAddr; 2],
    recorder: &Recorder,
    trouble: bool,
) -> Vec<(String, io::Result<Answer>)> {
    let mut answers = Vec::new();
    let [ordinary_adapter, filling_adapter, adapter] = part.adapters;
    for number in 0..ORDINARY_REQUESTS {
        let id = format!("{}-ordinary-{number}", part.name);
        let request = part.request(id.clone(), ordinary_adapter, part.ordinary);
        answers.push((id, ask(address, recorder, &request)));
    }
    let (count, body) = part.filling;
    let filling: Vec<_> = (0..count)
        .map(|number| {
            let id = format!("{}-filling-{number}", part.name);
            let request = part.request(id.clone(), filling_adapter, body);
            let recorder = recorder.clone();
            thread::spawn(move || (id, ask(other_address, &recorder, &request)))
        })
        .collect();
    thread::sleep(part.full_after);
    let surplus = if trouble { "&surplus=1" } else { "" };
    let id = format!("{}-rejected", part.name);
    let request = part.request(id.clone(), adapter, &format!("{}{surplus}", part.rejected));
    let answer = ask(address, recorder, &request);
    let retry_after = answer.as_ref().ok().filter(|answer| answer.head.status() == 503);
    let retry_after = retry_after.and_then(|answer| answer.head.field("retry-after")?.parse().ok());
    answers.push((id.clone(), answer));
    if let Some(seconds) = retry_after {
        // The client was told that the request has not run, and comes back as asked.
        thread::sleep(Duration::from_secs_f64(seconds));
        let id = format!("{id}-again");
        let request = part.request(id.clone(), adapter, part.rejected);
        answers.push((id, ask(address, recorder, &request)));
    }
    answers.extend(filling.into_iter().filter_map(|filling| filling.join().ok()));
    answers
}

/// Records which share of its engine's answers was sent twice.
///
/// # Errors
/// Returns an error if it is over the limit, since the case would then be unfair.
fn record_share(recorder: &Recorder, part: &str) -> io::Result<()> {
    let surplus = recorder.matching(&format!("sends the rejection of {part}-rejected once more"));
    let Some(engine) = surplus.first().and_then(|line| line.split(' ').nth(1)) else {
        return Ok(());
    };
    let answers = recorder.matching(&format!("engine {engine} "));
    let is_answer = |line: &&String| {
        let words: Vec<&str> = line.split(' ').collect();
        words.len() > 2 && matches!(words[2], "ends" | "rejects")
    };
    let answers = answers.iter().filter(is_answer).count();
    let share = surplus.len() as f64 / answers as f64;
    recorder.add(format!("engine {engine} sent {} of {answers} answers twice", surplus.len()));
    if share > LARGEST_SHARE {
        return Err(io::Error::other("an engine sent too many answers twice"));
    }
    Ok(())
}

fn ask(address: SocketAddr, recorder: &Recorder, request: &Request) -> io::Result<Answer> {
    recorder.add(format!("client sends {}: {}", request.id, request.body));
    let answer = send(address, request);
    let text = match &answer {
        Ok(answer) => answer.describe(),
        Err(error) => format!("no answer ({error})"),
    };
    recorder.add(format!("client gets {}: {text}", request.id));
    answer
}

/// Returns the rules that what happened to a request breaks.
fn check(id: &str, answer: Option<&Answer>, recorder: &Recorder) -> Vec<String> {
    let begun = recorder.matching(&format!(" begins {id}"));
    let runs = begun.iter().filter(|line| line.ends_with(id)).count();
    let mut breaks = Vec::new();
    if runs > 1 {
        breaks.push(format!("TWICE: {id} is not idempotent and was run {runs} times"));
    }
    let status = answer.map_or(0, |answer| answer.head.status());
    if runs > 0 && PROMISES.contains(&status) {
        breaks.push(format!("REFUSED: {id} was run and got {status}"));
    }
    breaks
}
