//! Requests over the whole path from caller through fabric, balancer and agent to the backend server and back.

use bytes::Bytes;
use http::{Method, Request};
use insta::{assert_debug_snapshot, assert_snapshot};
use uuid::Uuid;

use crate::support::{SmallCluster, get};

fn order(key: &str) -> Request<Bytes> {
    Request::builder()
        .method(Method::POST)
        .uri("https://service.test/orders")
        .header("idempotency-key", key)
        .body(Bytes::from_static(b"arch of 40 balloons, red and white"))
        .unwrap()
}

#[tokio::test]
async fn an_order_runs_once_and_is_answered() {
    let cluster = SmallCluster::start(3).await;
    let mut caller = cluster.caller().await.unwrap();
    let key = Uuid::now_v7().to_string();
    let answer = caller.call(order(&key)).await.unwrap();
    let result = (
        answer.status(),
        answer.into_body(),
        cluster.backend.request_counts(),
    );
    let result = format!("{result:#?}").replace(&key, "KEY");
    assert_snapshot!(result, @r#"
    (
        201,
        b"order KEY taken\n",
        RequestCounts {
            requests: 1,
            orders: {
                "KEY": 1,
            },
        },
    )
    "#);
}

#[tokio::test]
async fn a_model_sheet_arrives_whole_through_any_balancer() {
    let cluster = SmallCluster::start(3).await;
    let mut caller = cluster.caller().await.unwrap();
    let answer = caller.call(get("/sheets/1000000")).await.unwrap();
    let whole = answer.body().iter().all(|b| *b == b's');
    assert_debug_snapshot!((answer.status(), answer.body().len(), whole), @"
    (
        200,
        1000000,
        true,
    )
    ");
}

#[tokio::test]
async fn an_open_status_query_gets_its_last_piece() {
    let cluster = SmallCluster::start(2).await;
    let mut caller = cluster.caller().await.unwrap();
    let mut status = caller.open(get("/status")).await.unwrap();
    let first = status.next_chunk().await.unwrap();
    cluster.backend.finish_status();
    let rest = status.read_rest().await.unwrap();
    assert_debug_snapshot!((first, rest), @r#"
    (
        Some(
            b"on its way\n",
        ),
        b"delivered\n",
    )
    "#);
}

/// A response that stays open takes a connection of the backend server but none of its slots: a server
/// with 2 slots has about 2,000 connections.
#[tokio::test]
async fn open_status_queries_leave_the_slots_to_orders() {
    let cluster = SmallCluster::start(2).await;
    let mut open = Vec::new();
    for _ in 0..20 {
        let mut caller = cluster.caller().await.unwrap();
        let mut status = caller.open(get("/status")).await.unwrap();
        status.next_chunk().await.unwrap();
        open.push((caller, status));
    }
    let mut caller = cluster.caller().await.unwrap();
    let answer = caller
        .call(order(&Uuid::now_v7().to_string()))
        .await
        .unwrap();
    assert_debug_snapshot!(answer.status(), @"201");
}
