package org.radishpost.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.radishpost.errors.ManifestException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.store.LogPage;
import org.radishpost.store.LogRecord;

/**
 * One VM's replica of the configuration, as a state machine without I/O.
 *
 * <p>Call {@link #start} once, then {@link #handle} with each event, and perform the returned
 * actions. The order of the records on the log determines the state; snapshots and peers are only
 * alternative sources of the same state. The version never decreases. Not thread-safe.
 */
public final class ConfigReplica {
  private final String author;
  private final ConfigReplicaOptions options;
  private final ConfigRecordCodec recordCodec;
  private final SnapshotCodec snapshotCodec;
  private final ConfigChangeRules changeRules;
  private final ConfigRecordApplier recordApplier;
  private final ReplicationRules replicationRules;
  private final RecentConfigRecords recentRecords = new RecentConfigRecords();
  private final PendingPublishes pendingPublishes;
  private final PeerVersions peerVersions;
  private final SnapshotScheduler snapshotScheduler;
  private final RetryBackoff logBackoff;
  private final LogContact logContact;
  private ConfigState state = ConfigState.EMPTY;
  private long appendedSnapshotVersion;
  private byte[] cachedSnapshot = new byte[0];
  private long cachedSnapshotVersion = -1;
  private boolean logReadStarted;

  /** Whether the next read of the log returns without waiting for new records. */
  private boolean skipLongPoll = true;

  private Duration currentLongPoll = Duration.ZERO;
  private long readStartNanos;
  private boolean caughtUp;
  private boolean behind;
  private long behindSinceNanos;
  private boolean reportedLogTimeout;
  private boolean lostRecordsReported;

  /**
   * Creates a replica with an empty state.
   *
   * @param author the name of this VM, used as the author of the records that it appends
   * @param options the limits and intervals
   * @param recordCodec the codec of the records
   * @param snapshotCodec the codec of the snapshots
   * @param changeRules the rules that decide which changes are accepted
   * @param random the source of random pauses and of the choice of peers
   * @param nowNanos the current time
   */
  public ConfigReplica(
      String author,
      ConfigReplicaOptions options,
      ConfigRecordCodec recordCodec,
      SnapshotCodec snapshotCodec,
      ConfigChangeRules changeRules,
      RandomGenerator random,
      long nowNanos) {
    this(
        author,
        options,
        recordCodec,
        snapshotCodec,
        changeRules,
        random,
        nowNanos,
        new LogOrderRules());
  }

  ConfigReplica(
      String author,
      ConfigReplicaOptions options,
      ConfigRecordCodec recordCodec,
      SnapshotCodec snapshotCodec,
      ConfigChangeRules changeRules,
      RandomGenerator random,
      long nowNanos,
      ReplicationRules replicationRules) {
    this.author = author;
    this.options = options;
    this.recordCodec = recordCodec;
    this.snapshotCodec = snapshotCodec;
    this.changeRules = changeRules;
    this.replicationRules = replicationRules;
    this.recordApplier = new ConfigRecordApplier(recordCodec, changeRules);
    this.pendingPublishes = new PendingPublishes(options, random);
    this.peerVersions = new PeerVersions(options, random);
    this.snapshotScheduler = new SnapshotScheduler(options, random);
    this.logBackoff =
        new RetryBackoff(options.initialRetryPause(), options.maxRetryPause(), random);
    this.logContact = new LogContact(nowNanos);
  }

  /** Returns the first actions to perform. */
  public List<ConfigAction> start() {
    return List.of(snapshotScheduler.firstRead());
  }

  /** Processes an event and returns the actions to perform, in this order. */
  public List<ConfigAction> handle(ConfigEvent event, long nowNanos) {
    ConfigState before = state;
    List<ConfigAction> actions = new ArrayList<>();
    switch (event) {
      case ConfigEvent.LogRead read -> onLogRead(read.page(), nowNanos, actions);
      case ConfigEvent.LogReadFailed failed -> onLogReadFailed(nowNanos, actions);
      case ConfigEvent.SnapshotsRead read -> onSnapshotsRead(read.page(), nowNanos, actions);
      case ConfigEvent.SnapshotsReadFailed failed -> actions.add(snapshotScheduler.readFailed());
      case ConfigEvent.Appended appended -> apply(List.of(appended.record()));
      case ConfigEvent.AppendFailed failed ->
          pendingPublishes.appendFailed(failed.operationId(), nowNanos);
      case ConfigEvent.SnapshotAppended appended -> onSnapshotAppended(appended, nowNanos, actions);
      case ConfigEvent.PeerConnected connected -> peerVersions.connected(connected.peer());
      case ConfigEvent.PeerDisconnected disconnected ->
          peerVersions.disconnected(disconnected.peer());
      case ConfigEvent.PeerVersionReported reported ->
          peerVersions.versionReported(reported.peer(), reported.version());
      case ConfigEvent.PeerRecordsRequested requested -> actions.add(respondToPeer(requested));
      case ConfigEvent.PeerRecordsReceived received -> onPeerRecords(received);
      case ConfigEvent.PeerSnapshotReceived received -> onPeerSnapshot(received, actions);
      case ConfigEvent.PublishRequested requested ->
          onPublishRequested(requested, nowNanos, actions);
      case ConfigEvent.Tick tick -> onTick(nowNanos, actions);
    }
    updateProgress(before, nowNanos, actions);
    return actions;
  }

  /** Returns the current state. */
  public ConfigState state() {
    return state;
  }

  /** Returns whether the replica has caught up with the newest known version at least once. */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns the version to announce to peers, 0 until the replica has caught up. */
  public long announcedVersion() {
    return caughtUp ? state.version() : 0;
  }

  /** Returns how current the configuration of the replica is. */
  public ConfigFreshness freshness(long nowNanos) {
    return new ConfigFreshness(
        freshnessState(nowNanos),
        state.version(),
        newestKnownVersion(),
        logContact.timeSinceContact(nowNanos),
        peerVersions.connectedCount());
  }

  private ConfigFreshness.State freshnessState(long nowNanos) {
    if (!caughtUp) {
      return ConfigFreshness.State.STARTING;
    }
    boolean timedOut = logTimedOut(nowNanos);
    if (timedOut && peerVersions.connectedCount() == 0) {
      return ConfigFreshness.State.ISOLATED;
    }
    if (behind && nowNanos - behindSinceNanos > options.maxRetryPause().toNanos()) {
      return ConfigFreshness.State.BEHIND;
    }
    return timedOut ? ConfigFreshness.State.PEERS_ONLY : ConfigFreshness.State.FRESH;
  }

  private boolean logTimedOut(long nowNanos) {
    return logContact.timeSinceContact(nowNanos).compareTo(options.logTimeout()) > 0;
  }

  private long newestKnownVersion() {
    return Math.max(logContact.newestVersion(), peerVersions.newestVersion());
  }

  private void onLogRead(LogPage page, long nowNanos, List<ConfigAction> actions) {
    logBackoff.reset();
    logContact.pageReceived(page, nowNanos);
    reportLostRecords(page, actions);
    apply(page.records());
    if (page.earliestOffset() > state.version() + 1) {
      recoverFromGap(page, actions);
    }
    boolean early = nowNanos - readStartNanos < currentLongPoll.toNanos() / 2;
    skipLongPoll = false;
    readLog(
        hasNoNextRecord(page) && early ? logBackoff.nextPause() : Duration.ZERO, nowNanos, actions);
  }

  /** Returns whether an immediate read would return the same page again. */
  private boolean hasNoNextRecord(LogPage page) {
    return page.records().isEmpty() || page.records().getLast().offset() > state.version();
  }

  private void onLogReadFailed(long nowNanos, List<ConfigAction> actions) {
    skipLongPoll = true;
    readLog(logBackoff.nextPause(), nowNanos, actions);
  }

  private void recoverFromGap(LogPage page, List<ConfigAction> actions) {
    Optional<ConfigAction> read = snapshotScheduler.readAll();
    if (read.isPresent()) {
      actions.add(read.get());
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_GAP,
              EventField.of("version", state.version()),
              EventField.of("earliestOffset", page.earliestOffset())));
    }
  }

  private void reportLostRecords(LogPage page, List<ConfigAction> actions) {
    boolean lost = page.nextOffset() - 1 < state.version();
    if (lost && !lostRecordsReported) {
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_LOG_WENT_BACK,
              EventField.of("version", state.version()),
              EventField.of("nextOffset", page.nextOffset())));
    }
    lostRecordsReported = lost;
  }

  private void readLog(Duration pause, long nowNanos, List<ConfigAction> actions) {
    logReadStarted = true;
    readStartNanos = nowNanos + pause.toNanos();
    currentLongPoll = skipLongPoll ? Duration.ZERO : options.longPoll();
    actions.add(new ConfigAction.ReadLog(state.version() + 1, currentLongPoll, pause));
  }

  private void onSnapshotsRead(LogPage page, long nowNanos, List<ConfigAction> actions) {
    for (LogRecord record : page.records()) {
      adoptIfNewer(record.payload(), actions)
          .ifPresent(found -> snapshotScheduler.snapshotSeen(found.version(), record.timeMillis()));
    }
    snapshotScheduler.pageRead(page).ifPresent(actions::add);
    if (snapshotScheduler.initialReadDone() && !logReadStarted) {
      readLog(Duration.ZERO, nowNanos, actions);
    }
    long logMillis = logContact.estimatedLogMillis(nowNanos);
    if (snapshotScheduler.startAppendIfDue(state, logMillis)) {
      appendedSnapshotVersion = state.version();
      ConfigState snapshotState = replicationRules.stateForSnapshot(state, newestKnownVersion());
      actions.add(new ConfigAction.AppendSnapshot(snapshotCodec.encode(snapshotState)));
    }
  }

  private void onSnapshotAppended(
      ConfigEvent.SnapshotAppended appended, long nowNanos, List<ConfigAction> actions) {
    snapshotScheduler.appendEnded(
        appended.confirmed(), appendedSnapshotVersion, logContact.estimatedLogMillis(nowNanos));
    if (appended.confirmed()) {
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_SNAPSHOT_WRITTEN,
              EventField.of("version", appendedSnapshotVersion)));
    }
  }

  private void apply(List<LogRecord> appended) {
    for (LogRecord record : appended) {
      if (replicationRules.appliesNext(state, record)) {
        state = recordApplier.apply(state, record);
        recentRecords.add(record);
      }
    }
  }

  private Optional<ConfigState> adoptIfNewer(byte[] snapshot, List<ConfigAction> actions) {
    try {
      ConfigState decoded = snapshotCodec.decode(snapshot);
      replicationRules
          .stateToAdopt(state, decoded)
          .ifPresent(
              newer -> {
                state = newer;
                recentRecords.clear();
              });
      return Optional.of(decoded);
    } catch (ManifestException e) {
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_SNAPSHOT_MALFORMED, EventField.of("fault", e.getMessage())));
      return Optional.empty();
    }
  }

  private ConfigAction respondToPeer(ConfigEvent.PeerRecordsRequested request) {
    List<LogRecord> found = recentRecords.startingAt(request.fromOffset());
    return found.isEmpty()
        ? new ConfigAction.SendSnapshot(request.peer(), encodedSnapshot())
        : new ConfigAction.SendRecords(request.peer(), found);
  }

  private byte[] encodedSnapshot() {
    if (cachedSnapshotVersion != state.version()) {
      cachedSnapshot = snapshotCodec.encode(state);
      cachedSnapshotVersion = state.version();
    }
    return cachedSnapshot;
  }

  private void onPeerRecords(ConfigEvent.PeerRecordsReceived received) {
    peerVersions.responseReceived();
    apply(received.records());
  }

  private void onPeerSnapshot(
      ConfigEvent.PeerSnapshotReceived received, List<ConfigAction> actions) {
    peerVersions.responseReceived();
    adoptIfNewer(received.snapshot(), actions);
  }

  private void onPublishRequested(
      ConfigEvent.PublishRequested request, long nowNanos, List<ConfigAction> actions) {
    Optional<OperationOutcome> outcome = state.outcome(request.operationId());
    if (outcome.isPresent()) {
      actions.add(new ConfigAction.ReportResult(request.requestId(), outcome.get().result()));
      return;
    }
    List<String> reasons = changeRules.permanentRefusalReasons(state, request.change());
    if (!reasons.isEmpty()) {
      actions.add(
          new ConfigAction.ReportResult(request.requestId(), new PublishResult.Refused(reasons)));
      return;
    }
    try {
      ConfigRecord record = new ConfigRecord(request.operationId(), author, request.change());
      actions.addAll(pendingPublishes.add(request, recordCodec.encode(record), nowNanos));
    } catch (ManifestException e) {
      PublishResult refused = new PublishResult.Refused(List.of(e.getMessage()));
      actions.add(new ConfigAction.ReportResult(request.requestId(), refused));
    }
  }

  private void onTick(long nowNanos, List<ConfigAction> actions) {
    actions.addAll(pendingPublishes.tick(nowNanos));
    boolean waitingForLog =
        caughtUp && nowNanos - behindSinceNanos < options.peerRequestDelay().toNanos();
    if (behind && !waitingForLog) {
      peerVersions
          .choosePeer(state.version(), nowNanos)
          .ifPresent(
              peer -> actions.add(new ConfigAction.RequestRecords(peer, state.version() + 1)));
    }
    if (caughtUp && !behind && !logTimedOut(nowNanos)) {
      snapshotScheduler
          .tick(state, logContact.estimatedLogMillis(nowNanos), nowNanos)
          .ifPresent(actions::add);
    }
    reportLogTimeout(nowNanos, actions);
  }

  private void reportLogTimeout(long nowNanos, List<ConfigAction> actions) {
    boolean timedOut = logTimedOut(nowNanos);
    if (timedOut != reportedLogTimeout) {
      EventCode code = timedOut ? EventCode.LOG_SILENT : EventCode.LOG_HEARD;
      actions.add(ConfigAction.EmitEvent.of(code, EventField.of("version", state.version())));
    }
    reportedLogTimeout = timedOut;
  }

  private void updateProgress(ConfigState before, long nowNanos, List<ConfigAction> actions) {
    if (state.version() != before.version()) {
      actions.addAll(pendingPublishes.reportOutcomes(state));
      install(before, actions);
    }
    boolean wasBehind = behind;
    behind = state.version() < newestKnownVersion();
    if (behind && !wasBehind) {
      behindSinceNanos = nowNanos;
    }
    boolean contacted = logContact.everContacted() || peerVersions.newestVersion() > 0;
    if (!caughtUp && contacted && !behind) {
      caughtUp = true;
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_CAUGHT_UP, EventField.of("version", state.version())));
    }
  }

  private void install(ConfigState before, List<ConfigAction> actions) {
    actions.add(new ConfigAction.Install(state.configuration()));
    boolean changed =
        !state.manifests().equals(before.manifests()) || !state.scopes().equals(before.scopes());
    if (changed) {
      actions.add(
          ConfigAction.EmitEvent.of(
              EventCode.CONFIG_APPLIED, EventField.of("version", state.version())));
    }
  }
}
