//! Invalid settings give an error that names the place, or a controller that works; they never cause a panic.

mod common;

use bytes::Bytes;
use common::{list_entry, set_up_of, settings, STREAMERS};
use lemontide::clock::{Point, Span};
use lemontide_platform::codec::{Body, Message};
use lemontide_platform::config::ListUpdate;
use lemontide_platform::dispatcher::{Dispatcher, Effect};
use lemontide_platform::serve;
use serde_json::{json, Value as Json};

/// Collects the JSON pointers of all plain values.
fn collect_pointers(value: &Json, pointer: String, all: &mut Vec<String>) {
    match value {
        Json::Object(map) => {
            map.iter().for_each(|(name, value)| collect_pointers(value, format!("{pointer}/{name}"), all))
        }
        Json::Array(list) => list
            .iter()
            .enumerate()
            .for_each(|(i, value)| collect_pointers(value, format!("{pointer}/{i}"), all)),
        _ => all.push(pointer),
    }
}

/// Starts a dispatcher with these settings and lets it serve requests for a while; an error if they are invalid.
fn serve_with(settings: &Json) -> Result<(), String> {
    let mut now = Point::at(1000.0);
    let controller_settings = lemontide_settings::parse_settings(settings)?;
    let dispatcher_settings = serve::dispatcher_settings(&controller_settings, settings, 256)?;
    let mut dispatcher = Dispatcher::new(now, 7, &controller_settings, dispatcher_settings);
    let streamers = (0..STREAMERS).map(|at| list_entry(at, "in_service")).collect();
    dispatcher.update_list(now, &ListUpdate { full: true, streamers });
    dispatcher.on_viewer_connected(now, 1);
    for session in 1..100 {
        now = now + Span::of_millis(50);
        let class = if session % 2 == 0 { "free" } else { "paid" };
        let message = Message { session, body: Body::SetUp(set_up_of(class)) };
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
fn no_value_at_any_place_causes_a_panic_and_errors_name_the_place() {
    serve_with(&settings()).expect("valid");
    let mut pointers = Vec::new();
    collect_pointers(&settings(), String::new(), &mut pointers);
    let values = [
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
    for pointer in pointers {
        for value in &values {
            let mut settings = settings();
            *settings.pointer_mut(&pointer).expect("exists") = value.clone();
            if let Err(error) = serve_with(&settings) {
                refused += 1;
                let names = pointer.split('/').filter(|part| part.parse::<usize>().is_err());
                let is_named = names.filter(|part| !part.is_empty()).any(|part| error.contains(part));
                assert!(is_named, "{pointer} = {value}: {error}");
            }
        }
    }
    assert!(refused > 80, "{refused}");
}

#[test]
fn duplicate_names_and_tenants_without_a_share_are_refused_with_the_place() {
    for (pointer, value, place) in [
        ("/classes/1/name", json!("free"), "classes.1.name"),
        ("/tenants/0", json!({"name": "acme"}), "tenants.0"),
        ("/tenants", json!([{"name": "a", "share": 1}, {"name": "a", "share": 1}]), "tenants.1.name"),
        ("/policy_limits/streams_per_conn", json!(0), "streams_per_conn"),
    ] {
        let mut settings = settings();
        *settings.pointer_mut(pointer).expect("exists") = value;
        let error = serve_with(&settings).expect_err(pointer);
        assert!(error.contains(place) && error.contains("give"), "{error}");
    }
}
