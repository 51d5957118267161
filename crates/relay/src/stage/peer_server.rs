use {
    crate::{
        origin::OriginFrame,
        permit::{PermitFrame, grant_permit},
        place::PlaceDesk,
        shared::RelayCore,
        stage::{
            JobFrame, PeerMessage, PeerOutbox,
            frame_io::{FIRST_FRAME_COST, PEER_RECEIVE_BYTES, read_first_frames, write_frames},
            shard_owner::takes_jobs,
        },
        state::{FeedFrame, serve_feed},
        target::{PEER_PATIENCE, configure_socket},
        tasks::{PanicCaught, catch_panic},
    },
    actix_rt::task::JoinHandle,
    piece::{JobRank, PieceOutcome, StageJob},
    plan::ServiceId,
    room::ClientSeat,
    slog::{debug, warn},
    socket2::SockRef,
    std::{
        collections::HashMap,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
    wire::{NEWEST_SCHEMA, OLDEST_SCHEMA},
};

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of other entries, which submit jobs for the shards that this entry owns, or
/// follow the store by way of this entry.
pub async fn serve_peers(core: Rc<RelayCore>, listener: Rc<TcpListener>) {
    // Connections take it over; without it the kernel keeps more for each than is counted.
    let _ = SockRef::from(&*listener).set_recv_buffer_size(PEER_RECEIVE_BYTES);
    let room = &core.client_rooms.peers;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let now = Instant::now();
                if !room.make_room(FIRST_FRAME_COST, now) {
                    room.count_refused();
                    continue;
                }
                let seat = room.take_seat(FIRST_FRAME_COST, now);
                configure_socket(&stream, PEER_PATIENCE, &core.log);
                actix_rt::spawn(serve_peer(Rc::clone(&core), stream, seat));
            }
            Err(error) => {
                warn!(core.log, "peer connection could not be accepted"; "reason" => %error);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(core: Rc<RelayCore>, stream: TcpStream, seat: Rc<ClientSeat>) {
    let (reader, writer) = stream.into_split();
    let (outbox, inbox) = PeerOutbox::open();
    let seal = core.batch_service.seal.clone();
    let outcome = tokio::select! {
        outcome = write_frames(writer, &seal, inbox) => outcome,
        outcome = serve_frames(&core, reader, seat, outbox) => outcome,
    };
    if let Err(error) = outcome {
        debug!(core.log, "peer connection failed"; "reason" => %error);
    }
}

/// The task of a submitted job or of a feed; aborted when dropped.
struct PeerTask(JoinHandle<()>);

impl Drop for PeerTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handles the messages of a peer until it closes the connection, which cancels its jobs.
async fn serve_frames(
    core: &Rc<RelayCore>,
    reader: OwnedReadHalf,
    seat: Rc<ClientSeat>,
    outbox: PeerOutbox,
) -> anyhow::Result<()> {
    let mut tasks = HashMap::new();
    let mut feed = None;
    let mut place_desk = PlaceDesk::new(core);
    let seal = &core.batch_service.seal;
    read_first_frames(reader, seal, seat, |message| match message {
        PeerMessage::Job(frame) => {
            tasks.retain(|_, task: &mut PeerTask| !task.0.is_finished());
            handle_frame(core, frame, &outbox, &mut tasks);
        }
        PeerMessage::Place(frame) => {
            if let Some(answer) = place_desk.handle(frame) {
                // The peer may be gone; its requests count as ended then.
                let _ = outbox.send(PeerMessage::Place(answer));
            }
        }
        PeerMessage::Feed(FeedFrame::Follow { position }) => {
            let serving = serve_feed(Rc::clone(core), position, OLDEST_SCHEMA, outbox.clone());
            feed.replace(PeerTask(actix_rt::spawn(serving)));
        }
        PeerMessage::Feed(FeedFrame::FollowAll { position }) => {
            let serving = serve_feed(Rc::clone(core), position, NEWEST_SCHEMA, outbox.clone());
            feed.replace(PeerTask(actix_rt::spawn(serving)));
        }
        PeerMessage::Permit(PermitFrame::Ask { number, subject }) => {
            let answer = grant_permit(core, &subject, Instant::now());
            // The peer may be gone, and the permit with it.
            let _ = outbox.send(PeerMessage::Permit(PermitFrame::Answer { number, answer }));
        }
        PeerMessage::Permit(PermitFrame::Release {
            target,
            held,
            is_refused,
        }) => {
            let mut desk = core.room_desk.borrow_mut();
            desk.release(&target, held, is_refused, Instant::now());
        }
        PeerMessage::Origin(OriginFrame::Tell(origin)) => {
            core.origins.borrow_mut().record(&origin, Instant::now());
        }
        PeerMessage::Origin(OriginFrame::Ask { number, attempt }) => {
            let origin = core.origins.borrow().find(attempt, Instant::now());
            // The peer may be gone, and its caller with it.
            let _ = outbox.send(PeerMessage::Origin(OriginFrame::Found { number, origin }));
        }
        PeerMessage::Feed(_) | PeerMessage::Permit(_) | PeerMessage::Origin(_) => {}
    })
    .await
}

fn handle_frame(
    core: &Rc<RelayCore>,
    frame: JobFrame,
    outbox: &PeerOutbox,
    tasks: &mut HashMap<u64, PeerTask>,
) {
    match frame {
        JobFrame::Submit { number, shard, job } => {
            // An entry that does not tell ranks gets no advantage from it.
            let rank = JobRank {
                urgency: u8::MAX,
                customer: 0,
            };
            let task = run_job(core, number, shard, (job, rank), outbox);
            tasks.extend(task.map(|task| (number, task)));
        }
        JobFrame::SubmitRanked {
            number,
            shard,
            job,
            rank,
        } => {
            let task = run_job(core, number, shard, (job, rank), outbox);
            tasks.extend(task.map(|task| (number, task)));
        }
        JobFrame::Cancel { number } => {
            tasks.remove(&number);
        }
        JobFrame::Free { shard, results } => core.batch_service.free_own_results(&shard, results),
        JobFrame::InputsRead { .. } | JobFrame::Made { .. } | JobFrame::Failed { .. } => {}
    }
}

/// Runs a job of a peer in the background, or gives it back if this entry takes no jobs for the
/// shard.
fn run_job(
    core: &Rc<RelayCore>,
    number: u64,
    shard: ServiceId,
    (job, rank): (StageJob, JobRank),
    outbox: &PeerOutbox,
) -> Option<PeerTask> {
    let (core, outbox) = (Rc::clone(core), outbox.clone());
    if !takes_jobs(&core, &shard, Instant::now()) {
        let outcome = PieceOutcome::Moved;
        // The peer may be gone; its jobs are cancelled when the connection ends.
        let _ = outbox.send(PeerMessage::Job(JobFrame::Failed { number, outcome }));
        return None;
    }
    let inputs_read_outbox = outbox.clone();
    let on_inputs_read = Rc::new(move || {
        // The peer may be gone; its jobs are cancelled when the connection ends.
        let _ = inputs_read_outbox.send(PeerMessage::Job(JobFrame::InputsRead { number }));
    });
    let task = actix_rt::spawn(async move {
        let running = core
            .batch_service
            .run_own_job(&shard, job, rank, on_inputs_read);
        let frame = match catch_panic(running).await {
            Ok(Ok(results)) => JobFrame::Made { number, results },
            Ok(Err(outcome)) => JobFrame::Failed { number, outcome },
            Err(PanicCaught) => JobFrame::Failed {
                number,
                outcome: PieceOutcome::Failed,
            },
        };
        // The peer may be gone; its jobs are cancelled when the connection ends.
        let _ = outbox.send(PeerMessage::Job(frame));
    });
    Some(PeerTask(task))
}
