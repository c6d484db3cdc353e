//! A new request never uses blocks of another weight version.

use wisteriahitch_bench::caller::CallError;

use crate::harness::{SECRET, Site, SiteOptions, ask, prompt, wait_until};

#[tokio::test]
async fn rollout_with_returning_prompts_under_way() {
    // Symptom: answers mix two versions, or are wrong after an update. Sequence of events: prompts
    // return while new weights are rolled out. Cause: blocks of the old version are used with the
    // new one, or a request runs on another version than it was decided for. `ask` checks each
    // answer against the version that it names.
    for checks_fence in [true, false] {
        let options = SiteOptions {
            engines: 2,
            checks_fence,
            engine_flags: vec!["--load-model-ms".to_owned(), "300".to_owned()],
            ..SiteOptions::default()
        };
        let site = Site::start(options).await;
        let completion = prompt("weights", 450, 8);
        let before = ask(&site, 0, SECRET, &completion).await.unwrap();
        assert_eq!(before.weight_version.as_str(), "v1");
        let accepted = site.submit(0, &site.configuration("v2"), "v2").await;
        assert_eq!(accepted.status, 200, "{}", accepted.text());
        let mut first_on_v2 = None;
        wait_until("every engine to run v2", async || {
            match ask(&site, 1, SECRET, &completion).await {
                Ok(answer) if answer.weight_version.as_str() == "v2" => {
                    first_on_v2.get_or_insert(answer);
                }
                Ok(_) => {}
                Err(CallError::Refused { code, .. }) => panic!("refused with {code}"),
                Err(error) => panic!("{error}"),
            }
            is_complete(&site).await
        })
        .await;
        let first = first_on_v2.unwrap_or_else(|| panic!("no answer from v2\n{}", site.logs()));
        assert_eq!(
            first.cached_tokens.get(),
            0,
            "blocks of v1 were used with v2"
        );
    }
}

pub(crate) async fn is_complete(site: &Site) -> bool {
    let status = site
        .operator(0, http::Method::GET, "/v1/status", "")
        .await
        .unwrap()
        .json();
    let endpoints = status["endpoints"].as_array().unwrap().clone();
    let engines = endpoints.iter().filter(|row| row["service"] == "assistant");
    engines
        .into_iter()
        .all(|row| row["versions"][0] == "hist-7b@v2" && row["state"] == "ready")
}

#[tokio::test]
async fn adapter_is_loaded_and_unloaded_by_configuration() {
    // Symptom: an operator adds an adapter and its prompts are refused for ever, or removes one
    // that goes on answering. Sequence of events: the configuration names an adapter, then no
    // longer. Cause: nobody orders the engines to load and unload it.
    let site = Site::start(SiteOptions {
        engines: 2,
        ..SiteOptions::default()
    })
    .await;
    let without = site.configuration("v1");
    let with = without.replace(
        "piece_tokens = 100",
        "adapters = [\"history\"]\npiece_tokens = 100",
    );
    let mut completion = prompt("adapter", 30, 4);
    completion.adapter = Some("history".parse().unwrap());
    assert!(ask(&site, 0, SECRET, &completion).await.is_err());
    for (submission, text, is_served) in [("with", &with, true), ("without", &without, false)] {
        let accepted = site.submit(0, text, submission).await;
        assert_eq!(accepted.status, 200, "{}", accepted.text());
        wait_until("the adapter to follow the configuration", async || {
            let first = ask(&site, 0, SECRET, &completion).await;
            let second = ask(&site, 1, SECRET, &completion).await;
            first.is_ok() == is_served && second.is_ok() == is_served
        })
        .await;
    }
}
