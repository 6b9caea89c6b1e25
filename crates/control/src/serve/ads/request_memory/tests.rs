use super::*;
use http_body_util::StreamBody;
use tokio::sync::mpsc;
use tokio_stream::wrappers::UnboundedReceiverStream;
use tonic::Code;

const MAX_REQUEST_BYTES: usize = 1 << 20;
const FRAME_BYTES: usize = 16_384;
const STREAMS: usize = 60;

/// Request whose body is fed by the returned sender.
fn open_stream(limits: &RequestLimits) -> (mpsc::UnboundedSender<Result<Frame<Bytes>, Status>>, Body) {
    let (sender, frames) = mpsc::unbounded_channel();
    let body = Body::new(StreamBody::new(UnboundedReceiverStream::new(frames)));
    (sender, limits.apply(http::Request::new(body)).into_body())
}

fn limits() -> RequestLimits {
    RequestLimits {
        timeout: Duration::from_secs(600),
        decoded_bytes_per_byte: 1,
        memory: MemoryBudget::new(8 * MAX_REQUEST_BYTES),
    }
}

async fn read_frames(body: &mut Body, count: usize) -> Result<(), Status> {
    for _ in 0..count {
        body.frame().await.transpose()?;
    }
    Ok(())
}

/// Guards against streams whose unfinished requests take a full request's memory each.
#[tokio::test]
async fn unfinished_requests_stay_within_the_budget_and_let_others_through() {
    let limits = limits();
    let frame = || Ok(Frame::data(Bytes::from(vec![0; FRAME_BYTES])));
    let mut readers = Vec::new();
    for _ in 0..STREAMS {
        let (sender, mut body) = open_stream(&limits);
        (0..40).for_each(|_| sender.send(frame()).expect("the body is open"));
        let reading = tokio::spawn(async move {
            let result = read_frames(&mut body, 41).await;
            drop(sender);
            result
        });
        tokio::task::yield_now().await;
        assert!(limits.memory.used() <= 8 * MAX_REQUEST_BYTES);
        readers.push(reading);
    }
    let (sender, mut body) = open_stream(&limits);
    (0..64).for_each(|_| sender.send(frame()).expect("the body is open"));
    read_frames(&mut body, 64).await.expect("a request that arrives whole is received");
    let ended = readers.iter().filter(|reading| reading.is_finished()).count();
    assert!(ended >= STREAMS - 8, "{ended} of {STREAMS} unfinished requests were given up");
    readers.iter().for_each(|reading| reading.abort());
}

/// Guards against a proxy that never finishes its request.
#[tokio::test]
async fn request_that_is_not_finished_in_time_ends_its_stream() {
    let limits = RequestLimits { timeout: Duration::from_millis(20), ..limits() };
    let (sender, mut body) = open_stream(&limits);
    sender.send(Ok(Frame::data(Bytes::from_static(b"\0\0")))).expect("the body is open");
    let status = read_frames(&mut body, 2).await.expect_err("the second frame never comes");
    assert_eq!(status.code(), Code::DeadlineExceeded);
    drop(body);
    assert_eq!(limits.memory.used(), 0);
}

/// Guards against an idle stream that is ended since an empty frame counted as the beginning of a request.
#[tokio::test(start_paused = true)]
async fn empty_frame_begins_no_request() {
    let limits = limits();
    let (sender, mut body) = open_stream(&limits);
    sender.send(Ok(Frame::data(Bytes::new()))).expect("the body is open");
    read_frames(&mut body, 1).await.expect("the empty frame is passed on");
    let idle = tokio::time::timeout(10 * limits.timeout, read_frames(&mut body, 1)).await;
    assert!(idle.is_err(), "{idle:?}");
}
