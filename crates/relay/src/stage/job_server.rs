use {
    crate::{
        shared::RelayCore,
        stage::{
            JobFrame,
            frame_io::{read_frames, write_frames},
        },
        target::configure_socket,
    },
    actix_rt::task::JoinHandle,
    slog::{debug, warn},
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf},
        sync::mpsc,
    },
};

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections of other entries, which submit jobs for the shards that this entry owns.
pub async fn serve_jobs(core: Rc<RelayCore>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                configure_socket(&stream, &core.log);
                actix_rt::spawn(serve_peer(Rc::clone(&core), stream));
            }
            Err(error) => {
                warn!(core.log, "peer connection could not be accepted"; "reason" => %error);
                actix_rt::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_peer(core: Rc<RelayCore>, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let (outbox, inbox) = mpsc::unbounded_channel();
    let seal = core.batch_service.seal.clone();
    let outcome = tokio::select! {
        outcome = write_frames(writer, &seal, inbox) => outcome,
        outcome = serve_frames(&core, reader, outbox) => outcome,
    };
    if let Err(error) = outcome {
        debug!(core.log, "peer connection failed"; "reason" => %error);
    }
}

/// The task of a submitted job; aborted when dropped.
struct JobTask(JoinHandle<()>);

impl Drop for JobTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Handles the messages of a peer until it closes the connection, which cancels its jobs.
async fn serve_frames(
    core: &Rc<RelayCore>,
    reader: OwnedReadHalf,
    outbox: mpsc::UnboundedSender<JobFrame>,
) -> anyhow::Result<()> {
    let mut tasks = HashMap::new();
    read_frames(reader, &core.batch_service.seal, |frame| {
        tasks.retain(|_, task: &mut JobTask| !task.0.is_finished());
        handle_frame(core, frame, &outbox, &mut tasks);
    })
    .await
}

fn handle_frame(
    core: &Rc<RelayCore>,
    frame: JobFrame,
    outbox: &mpsc::UnboundedSender<JobFrame>,
    tasks: &mut HashMap<u64, JobTask>,
) {
    match frame {
        JobFrame::Submit { number, shard, job } => {
            let (core, outbox) = (Rc::clone(core), outbox.clone());
            let inputs_read_outbox = outbox.clone();
            let on_inputs_read = Rc::new(move || {
                // The peer may be gone; its jobs are cancelled when the connection ends.
                let _ = inputs_read_outbox.send(JobFrame::InputsRead { number });
            });
            let task = actix_rt::spawn(async move {
                let frame = match core
                    .batch_service
                    .run_own_job(&shard, job, on_inputs_read)
                    .await
                {
                    Ok(results) => JobFrame::Made { number, results },
                    Err(outcome) => JobFrame::Failed { number, outcome },
                };
                // The peer may be gone; its jobs are cancelled when the connection ends.
                let _ = outbox.send(frame);
            });
            tasks.insert(number, JobTask(task));
        }
        JobFrame::Cancel { number } => {
            tasks.remove(&number);
        }
        JobFrame::Free { shard, results } => core.batch_service.free_own_results(&shard, results),
        JobFrame::InputsRead { .. } | JobFrame::Made { .. } | JobFrame::Failed { .. } => {}
    }
}
