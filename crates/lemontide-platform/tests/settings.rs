//! Settings that can't be used: an error with the place, or a controller that decides; never a panic.

mod common;

use bytes::Bytes;
use common::{entry, settings, wish, STREAMERS};
use lemontide::clock::{Point, Span};
use lemontide_platform::codec::{Body, Message};
use lemontide_platform::config::Hosts;
use lemontide_platform::dispatcher::{Dispatcher, Effect};
use lemontide_platform::serve;
use serde_json::{json, Value as Json};

/// The places of all plain values.
fn places(of: &Json, at: String, all: &mut Vec<String>) {
    match of {
        Json::Object(map) => map.iter().for_each(|(name, value)| places(value, format!("{at}/{name}"), all)),
        Json::Array(list) => {
            list.iter().enumerate().for_each(|(i, value)| places(value, format!("{at}/{i}"), all))
        }
        _ => all.push(at),
    }
}

/// Starts a dispatcher on these settings and lets it work for a while; the error where they can't be used.
fn serve(settings: &Json) -> Result<(), String> {
    let mut now = Point::at(1000.0);
    let sheet = lemontide_settings::parse_settings(settings)?;
    let terms = serve::terms(&sheet, settings, 256)?;
    let mut dispatcher = Dispatcher::new(now, 7, &sheet, terms);
    let servers = (0..STREAMERS).map(|at| entry(at, "in_service")).collect();
    dispatcher.update_list(now, &Hosts { full: true, servers });
    dispatcher.on_viewer_connected(now, 1);
    for session in 1..100 {
        now = now + Span::of_millis(50);
        let lane = if session % 2 == 0 { "free" } else { "paid" };
        let message = Message { session, body: Body::SetUp(wish(lane)) };
        let heard = dispatcher.replies().register(1, message, now);
        dispatcher.on_viewer_message(now, heard);
        assert!(dispatcher.decide_next(now));
        while !dispatcher.effects.is_empty() {
            for effect in std::mem::take(&mut dispatcher.effects) {
                match effect {
                    Effect::Dial { on, .. } => dispatcher.on_connected(now, on),
                    Effect::Write { on, messages: orders } => {
                        for queued in orders {
                            let Message { session, body } = queued.message.message;
                            queued.message.permit.map(|permit| permit.begin());
                            if matches!(body, Body::SetUp(_)) {
                                let answer =
                                    Body::Answer { description: Bytes::new(), load: Default::default() };
                                dispatcher.on_streamer_message(now, on, Message { session, body: answer });
                            }
                        }
                        dispatcher.on_batch_written(now, on, Vec::new());
                    }
                    _ => {}
                }
            }
        }
        if now >= dispatcher.next_tick() {
            dispatcher.tick(now);
        }
    }
    Ok(())
}

#[test]
fn no_value_at_any_place_makes_a_panic_and_errors_name_the_place() {
    serve(&settings()).expect("usable");
    let mut all = Vec::new();
    places(&settings(), String::new(), &mut all);
    let odd = [
        json!(0),
        json!(-1),
        json!(1e300),
        json!(1e-300),
        json!("x"),
        json!(""),
        json!(null),
        json!([]),
        json!({}),
    ];
    let mut refused = 0;
    for place in all {
        for value in &odd {
            let mut settings = settings();
            *settings.pointer_mut(&place).expect("it is there") = value.clone();
            if let Err(why) = serve(&settings) {
                refused += 1;
                let told = place.split('/').filter(|part| part.parse::<usize>().is_err());
                let named = told.filter(|part| !part.is_empty()).any(|part| why.contains(part));
                assert!(named, "{place} = {value}: {why}");
            }
        }
    }
    assert!(refused > 80, "{refused}");
}

#[test]
fn names_that_come_twice_and_tenants_without_a_share_are_refused_with_the_place() {
    for (place, value, named) in [
        ("/classes/1/name", json!("free"), "classes.1.name"),
        ("/tenants/0", json!({"name": "acme"}), "tenants.0"),
        ("/tenants", json!([{"name": "a", "share": 1}, {"name": "a", "share": 1}]), "tenants.1.name"),
        ("/policy_limits/streams_per_conn", json!(0), "streams_per_conn"),
    ] {
        let mut settings = settings();
        *settings.pointer_mut(place).expect("it is there") = value;
        let why = serve(&settings).expect_err(place);
        assert!(why.contains(named) && why.contains("give"), "{why}");
    }
}
