//! Requests of players to a controller over HTTP, its responses, and the event stream of a session.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// `POST /v1/subscriptions`: a request to watch a title. CMCD can be sent with it in headers or in the query.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "Wish")]
pub struct PlayRequest {
    pub title: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub tenant: String,
    /// The player's id of this request, which is repeated in the response and in taps.
    #[serde(rename = "ask", default, skip_serializing_if = "String::is_empty")]
    pub request_id: String,
    /// How long the player waits from now, in seconds; the deadline of the class if absent or later than it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub give_up_in_s: Option<f64>,
    /// Highest rung that the viewer can use.
    #[serde(rename = "top", default, skip_serializing_if = "Option::is_none")]
    pub max_rung: Option<usize>,
    /// The viewer retries after a lost session or a rejected request.
    #[serde(rename = "returned", default)]
    pub is_retry: bool,
    /// Estimate of how long the viewer will watch, in seconds.
    #[serde(rename = "length_s", default, skip_serializing_if = "Option::is_none")]
    pub expected_duration_s: Option<f64>,
    /// CMCD in its JSON form.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub cmcd: Option<serde_json::Value>,
}

/// The response to a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "answer", rename_all = "snake_case")]
#[schemars(rename = "Answer")]
pub enum PlayResponse {
    /// 201: the session plays.
    Plays {
        #[serde(rename = "ask")]
        request_id: String,
        /// Id of the session, for ending it with `DELETE /v1/subscriptions/{id}`.
        #[serde(rename = "subscription")]
        session: u32,
        streamer: String,
        address: String,
        rung: usize,
        rate_kb: f64,
    },
    /// 503 with `Retry-After` in whole seconds; the exact time is here.
    #[serde(rename = "turned_back")]
    Rejected {
        #[serde(rename = "ask")]
        request_id: String,
        retry_after_s: Option<f64>,
    },
    /// 502: the session may have been set up, or may still be.
    #[serde(rename = "scrapped")]
    Failed {
        #[serde(rename = "ask")]
        request_id: String,
    },
    /// 400, 404 or 503: the request was not accepted at all, with the reason.
    #[serde(rename = "not_taken")]
    NotAccepted { error: String, retry_after_s: Option<f64> },
}

/// One line of `GET /v1/subscriptions/{id}/news`: an event of a playing session.
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

/// Why a session ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Over")]
pub enum EndReason {
    /// The viewer watched the title to its end.
    Served,
    /// The streamer or the link to it was lost; the player should send a new request with `returned` set.
    #[serde(rename = "broken")]
    ConnectionLost,
    /// The session was ended so that it can be placed elsewhere; the player should send a new request with
    /// `returned` set at once.
    Moved,
    /// The player ended it.
    #[serde(rename = "left")]
    ViewerLeft,
    /// The controller is stopping.
    Stopped,
}
