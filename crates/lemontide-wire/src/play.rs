//! What a player asks of a controller over HTTP, and the answers.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// `POST /v1/subscriptions`: a wish to watch a title. Hints travel beside it as CMCD.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Wish")]
pub struct PlayRequest {
    pub title: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The player's own word for this request; it comes back in the answer and in taps.
    #[serde(rename = "ask", default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
    /// How long the player waits from now, in seconds; the lane's cut-off where it is absent or later.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub give_up_in_s: Option<f64>,
    /// Highest rung that the viewer can use.
    #[serde(rename = "top", default, skip_serializing_if = "Option::is_none")]
    pub max_rung: Option<usize>,
    /// The viewer comes again after a break or a turn-back.
    #[serde(rename = "returned", default)]
    pub is_retry: bool,
    /// About how long the viewer will watch, in seconds.
    #[serde(rename = "length_s", default, skip_serializing_if = "Option::is_none")]
    pub expected_duration_s: Option<f64>,
    /// CMCD in its JSON form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cmcd: Option<serde_json::Value>,
}

/// The one answer of a wish.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "answer", rename_all = "snake_case")]
#[schemars(rename = "Answer")]
pub enum PlayResponse {
    /// 201.
    Plays {
        #[serde(rename = "ask")]
        request_id: String,
        /// Name it to end the subscription: `DELETE /v1/subscriptions/{id}`.
        #[serde(rename = "subscription")]
        session: u32,
        streamer: String,
        address: String,
        rung: usize,
        rate_kb: f64,
    },
    /// 503 with `Retry-After`, which is whole seconds; the exact wait is here.
    #[serde(rename = "turned_back")]
    Rejected {
        #[serde(rename = "ask")]
        request_id: String,
        retry_after_s: Option<f64>,
    },
    /// 502: it may have been set up, or may yet be.
    #[serde(rename = "scrapped")]
    Failed {
        #[serde(rename = "ask")]
        request_id: String,
    },
    /// 400, 404 or 503: the wish was not taken at all, and why.
    #[serde(rename = "not_taken")]
    NotAccepted { error: String, retry_after_s: Option<f64> },
}

/// One line of `GET /v1/subscriptions/{id}/news`: what happens to a subscription that plays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "news", rename_all = "snake_case")]
#[schemars(rename = "News")]
pub enum SessionEvent {
    #[serde(rename = "rung")]
    RungChanged { rung: usize, rate_kb: f64 },
    /// The last line.
    #[serde(rename = "over")]
    Ended {
        #[serde(rename = "why")]
        reason: EndReason,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Over")]
pub enum EndReason {
    /// It was watched to its end.
    Served,
    /// The streamer or the link to it was lost; come again, marked as returned.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// It was ended to be placed anew; come again at once, marked as returned.
    Moved,
    /// The player ended it.
    #[serde(rename = "left")]
    ViewerLeft,
    /// The controller stops.
    Stopped,
}
