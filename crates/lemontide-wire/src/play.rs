//! What a player asks of a controller over HTTP, and the answers.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// `POST /v1/subscriptions`: a wish to watch a title. Hints travel beside it as CMCD.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Wish {
    pub title: String,
    pub lane: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The player's own word for this request; it comes back in the answer and in taps.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub ask: String,
    /// How long the player waits from now, in seconds; the lane's cut-off where it is absent or later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub give_up_in_s: Option<f64>,
    /// Highest rung that the viewer can use.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub top: Option<usize>,
    /// The viewer comes again after a break or a turn-back.
    #[serde(default)]
    pub returned: bool,
    /// About how long the viewer will watch, in seconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub length_s: Option<f64>,
    /// CMCD in its JSON form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cmcd: Option<serde_json::Value>,
}

/// The one answer of a wish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "answer", rename_all = "snake_case")]
pub enum Answer {
    /// 201.
    Plays {
        ask: String,
        /// Name it to end the subscription: `DELETE /v1/subscriptions/{id}`.
        subscription: u32,
        streamer: String,
        address: String,
        rung: usize,
        rate_kb: f64,
    },
    /// 503 with `Retry-After`, which is whole seconds; the exact wait is here.
    TurnedBack { ask: String, retry_after_s: Option<f64> },
    /// 502: it may have been set up, or may yet be.
    Scrapped { ask: String },
    /// 400, 404 or 503: the wish was not taken at all, and why.
    NotTaken { error: String, retry_after_s: Option<f64> },
}

/// One line of `GET /v1/subscriptions/{id}/news`: what happens to a subscription that plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "news", rename_all = "snake_case")]
pub enum News {
    Rung {
        rung: usize,
        rate_kb: f64,
    },
    /// The last line.
    Over {
        why: Over,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Over {
    /// It was watched to its end.
    Served,
    /// The streamer or the link to it was lost; come again, marked as returned.
    Broken,
    /// It was ended to be placed anew; come again at once, marked as returned.
    Moved,
    /// The player ended it.
    Left,
    /// The controller stops.
    Stopped,
}
