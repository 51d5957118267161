use {
    crate::control::{SheetController, peer_frames::ask_peer},
    base::HostId,
    sheet::{SheetBundle, SheetEvent, SheetIndex, SheetSource},
    slog::{info, warn},
    std::rc::Rc,
    wire::PeerFrame,
};

/// Fetches sheets from the configuration service and from peers.
impl SheetController {
    /// Asks a peer for the version and digest of its sheet in force.
    pub(super) async fn ask_peer_status(self: Rc<Self>, host: HostId) {
        let answer = self
            .exchange_frame(&host, &PeerFrame::SheetStatusRequest)
            .await;
        let event = match answer {
            Some(PeerFrame::SheetStatusReply {
                version,
                digest,
                vouched,
                marks,
            }) => {
                self.members.on_target_rumours(marks);
                if vouched {
                    self.handle(SheetEvent::PeerVouches { version });
                }
                SheetEvent::PeerHasSheet {
                    host,
                    version,
                    digest,
                }
            }
            _ => SheetEvent::PeerFailed { host },
        };
        self.handle(event);
    }

    /// Reads all parts of an index from the configuration service.
    pub(super) async fn fetch_parts(self: Rc<Self>, index: SheetIndex) {
        let mut parts = Vec::new();
        for part in &index.part {
            match self.client.read_value(&part.key).await {
                Some(text) => parts.push(text),
                None => return self.handle(SheetEvent::ServiceFailed),
            }
        }
        let bundle = SheetBundle { index, parts };
        self.handle(SheetEvent::PartsFetched {
            source: SheetSource::Service,
            bundle,
        });
    }

    /// Fetches the sheet in force at a peer, whatever its version.
    pub(super) async fn fetch_from_peer(self: Rc<Self>, host: HostId) {
        let answer = self
            .exchange_frame(&host, &PeerFrame::SheetRequest { version: 1 })
            .await;
        let event = match answer {
            Some(PeerFrame::SheetReply {
                index_text,
                parts,
                marks,
            }) => {
                self.members.on_target_rumours(marks);
                info!(self.state.log, "sheet fetched from a peer"; "peer" => &host);
                match toml::from_str::<SheetIndex>(&index_text) {
                    Ok(index) => SheetEvent::PartsFetched {
                        source: SheetSource::Peer(host),
                        bundle: SheetBundle { index, parts },
                    },
                    Err(error) => {
                        warn!(self.state.log, "sheet index of a peer refused: it is not valid";
                            "peer" => &host, "error" => error.message());
                        SheetEvent::PeerFailed { host }
                    }
                }
            }
            _ => SheetEvent::PeerFailed { host },
        };
        self.handle(event);
    }

    /// Sends a frame to a peer and returns its reply; `None` if the host is unknown or does not
    /// reply.
    async fn exchange_frame(&self, host: &str, frame: &PeerFrame) -> Option<PeerFrame> {
        let entries = self.members.accepting_entries();
        let row = entries.into_iter().find(|row| row.host == host)?;
        ask_peer(&row.peers, &self.seal, frame).await.ok()
    }
}
