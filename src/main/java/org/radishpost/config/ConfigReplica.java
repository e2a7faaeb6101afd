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
 * One VM's copy of the configuration: takes events and returns what is to be done.
 *
 * <p>Call {@link #start} once, then {@link #handle} with each event, and do the actions. The order
 * of the records on the log is the only truth; snapshots and peers are other ways to the same
 * records. Versions never fall. Not thread-safe.
 */
public final class ConfigReplica {
  private final String author;
  private final ConfigReplicaOptions options;
  private final ConfigRecordCodec records;
  private final SnapshotCodec snapshots;
  private final ConfigVerdicts verdicts;
  private final ConfigFold fold;
  private final ReplicaRules rules;
  private final RecentRecords recent = new RecentRecords();
  private final PendingPublishes pending;
  private final PeerVersions peers;
  private final SnapshotKeeper keeper;
  private final Backoff logBackoff;
  private final LogContact contact;
  private ConfigState state = ConfigState.EMPTY;
  private long writtenVersion;
  private byte[] sent = new byte[0];
  private long sentVersion = -1;
  private boolean reading;
  private boolean logSought = true;
  private Duration readWait = Duration.ZERO;
  private long readNanos;
  private boolean caughtUp;
  private boolean behind;
  private long behindNanos;
  private boolean logSilent;
  private boolean wentBack;

  /**
   * Creates a replica that knows nothing.
   *
   * @param author the name of this VM, for the records that it appends
   * @param options bounds and intervals
   * @param records the form of the records
   * @param snapshots the form of the snapshots
   * @param verdicts which changes are accepted
   * @param random where random pauses come from
   * @param nowNanos the time
   */
  public ConfigReplica(
      String author,
      ConfigReplicaOptions options,
      ConfigRecordCodec records,
      SnapshotCodec snapshots,
      ConfigVerdicts verdicts,
      RandomGenerator random,
      long nowNanos) {
    this(author, options, records, snapshots, verdicts, random, nowNanos, new LogOrderRules());
  }

  ConfigReplica(
      String author,
      ConfigReplicaOptions options,
      ConfigRecordCodec records,
      SnapshotCodec snapshots,
      ConfigVerdicts verdicts,
      RandomGenerator random,
      long nowNanos,
      ReplicaRules rules) {
    this.author = author;
    this.options = options;
    this.records = records;
    this.snapshots = snapshots;
    this.verdicts = verdicts;
    this.rules = rules;
    this.fold = new ConfigFold(records, verdicts);
    this.pending = new PendingPublishes(options, random);
    this.peers = new PeerVersions(options, random);
    this.keeper = new SnapshotKeeper(options, random);
    this.logBackoff = new Backoff(options.retryPause(), options.retryMost(), random);
    this.contact = new LogContact(nowNanos);
  }

  /** Returns what is to be done first. */
  public List<ConfigAction> start() {
    return List.of(keeper.start());
  }

  /** Takes an event and returns what is to be done, in this order. */
  public List<ConfigAction> handle(ConfigEvent event, long nowNanos) {
    ConfigState before = state;
    List<ConfigAction> actions = new ArrayList<>();
    switch (event) {
      case ConfigEvent.LogRead read -> logRead(read.page(), nowNanos, actions);
      case ConfigEvent.LogReadFailed failed -> logReadFailed(nowNanos, actions);
      case ConfigEvent.SnapshotsRead read -> snapshotsRead(read.page(), nowNanos, actions);
      case ConfigEvent.SnapshotsReadFailed failed -> actions.add(keeper.failed());
      case ConfigEvent.Appended appended -> apply(List.of(appended.landed()));
      case ConfigEvent.AppendFailed failed -> pending.failed(failed.operationId(), nowNanos);
      case ConfigEvent.SnapshotAppended appended -> snapshotAppended(appended, nowNanos, actions);
      case ConfigEvent.PeerUp up -> peers.up(up.peer());
      case ConfigEvent.PeerDown down -> peers.down(down.peer());
      case ConfigEvent.PeerVersion told -> peers.told(told.peer(), told.version());
      case ConfigEvent.PeerWants wanted -> actions.add(offer(wanted));
      case ConfigEvent.PeerRecords sent -> peerRecords(sent);
      case ConfigEvent.PeerSnapshot sent -> peerSnapshot(sent, actions);
      case ConfigEvent.PublishAsked asked -> publish(asked, nowNanos, actions);
      case ConfigEvent.Tick tick -> tick(nowNanos, actions);
    }
    moved(before, nowNanos, actions);
    return actions;
  }

  /** Returns the state in force. */
  public ConfigState state() {
    return state;
  }

  /** Tells whether the replica has known a configuration as new as any it was told of. */
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns the version to tell peers: 0 until the replica has caught up. */
  public long announcedVersion() {
    return caughtUp ? state.version() : 0;
  }

  /** Returns how well the replica knows the configuration. */
  public ConfigFreshness freshness(long nowNanos) {
    return new ConfigFreshness(
        freshnessState(nowNanos),
        state.version(),
        toldVersion(),
        contact.silence(nowNanos),
        peers.count());
  }

  private ConfigFreshness.State freshnessState(long nowNanos) {
    if (!caughtUp) {
      return ConfigFreshness.State.STARTING;
    }
    boolean silent = silent(nowNanos);
    if (silent && peers.count() == 0) {
      return ConfigFreshness.State.ISOLATED;
    }
    if (behind && nowNanos - behindNanos > options.retryMost().toNanos()) {
      return ConfigFreshness.State.BEHIND;
    }
    return silent ? ConfigFreshness.State.PEERS_ONLY : ConfigFreshness.State.FRESH;
  }

  private boolean silent(long nowNanos) {
    return contact.silence(nowNanos).compareTo(options.silenceLimit()) > 0;
  }

  private long toldVersion() {
    return Math.max(contact.toldVersion(), peers.toldVersion());
  }

  private void logRead(LogPage page, long nowNanos, List<ConfigAction> actions) {
    logBackoff.succeeded();
    contact.heard(page, nowNanos);
    noteLostRecords(page, actions);
    apply(page.records());
    if (page.earliestOffset() > state.version() + 1) {
      gap(page, actions);
    }
    boolean early = nowNanos - readNanos < readWait.toNanos() / 2;
    logSought = false;
    readLog(useless(page) && early ? logBackoff.failed() : Duration.ZERO, nowNanos, actions);
  }

  /** Tells whether reading again at once would give the same page. */
  private boolean useless(LogPage page) {
    return page.records().isEmpty() || page.records().getLast().offset() > state.version();
  }

  private void logReadFailed(long nowNanos, List<ConfigAction> actions) {
    logSought = true;
    readLog(logBackoff.failed(), nowNanos, actions);
  }

  private void gap(LogPage page, List<ConfigAction> actions) {
    Optional<ConfigAction> read = keeper.readAll();
    if (read.isPresent()) {
      actions.add(read.get());
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_GAP,
              EventField.of("version", state.version()),
              EventField.of("earliestOffset", page.earliestOffset())));
    }
  }

  private void noteLostRecords(LogPage page, List<ConfigAction> actions) {
    boolean lost = page.nextOffset() - 1 < state.version();
    if (lost && !wentBack) {
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_LOG_WENT_BACK,
              EventField.of("version", state.version()),
              EventField.of("nextOffset", page.nextOffset())));
    }
    wentBack = lost;
  }

  private void readLog(Duration pause, long nowNanos, List<ConfigAction> actions) {
    reading = true;
    readNanos = nowNanos + pause.toNanos();
    readWait = logSought ? Duration.ZERO : options.readWait();
    actions.add(new ConfigAction.ReadLog(state.version() + 1, readWait, pause));
  }

  private void snapshotsRead(LogPage page, long nowNanos, List<ConfigAction> actions) {
    for (LogRecord record : page.records()) {
      adopt(record.payload(), actions)
          .ifPresent(found -> keeper.seen(found.version(), record.timeMillis()));
    }
    keeper.read(page).ifPresent(actions::add);
    if (keeper.started() && !reading) {
      readLog(Duration.ZERO, nowNanos, actions);
    }
    long logMillis = contact.logMillis(nowNanos);
    if (keeper.takeWrite(state, logMillis)) {
      writtenVersion = state.version();
      ConfigState carried = rules.carried(state, toldVersion());
      actions.add(new ConfigAction.AppendSnapshot(snapshots.encode(carried)));
    }
  }

  private void snapshotAppended(
      ConfigEvent.SnapshotAppended appended, long nowNanos, List<ConfigAction> actions) {
    keeper.appended(appended.landed(), writtenVersion, contact.logMillis(nowNanos));
    if (appended.landed()) {
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_SNAPSHOT_WRITTEN, EventField.of("version", writtenVersion)));
    }
  }

  private void apply(List<LogRecord> found) {
    for (LogRecord record : found) {
      if (rules.comesNext(state, record)) {
        state = fold.apply(state, record);
        recent.add(record);
      }
    }
  }

  private Optional<ConfigState> adopt(byte[] snapshot, List<ConfigAction> actions) {
    try {
      ConfigState found = snapshots.decode(snapshot);
      rules
          .adopted(state, found)
          .ifPresent(
              newer -> {
                state = newer;
                recent.clear();
              });
      return Optional.of(found);
    } catch (ManifestException e) {
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_SNAPSHOT_MALFORMED, EventField.of("fault", e.getMessage())));
      return Optional.empty();
    }
  }

  private ConfigAction offer(ConfigEvent.PeerWants wanted) {
    List<LogRecord> found = recent.from(wanted.fromOffset());
    return found.isEmpty()
        ? new ConfigAction.SendSnapshot(wanted.peer(), sentSnapshot())
        : new ConfigAction.SendRecords(wanted.peer(), found);
  }

  private byte[] sentSnapshot() {
    if (sentVersion != state.version()) {
      sent = snapshots.encode(state);
      sentVersion = state.version();
    }
    return sent;
  }

  private void peerRecords(ConfigEvent.PeerRecords sent) {
    peers.answered();
    apply(sent.records());
  }

  private void peerSnapshot(ConfigEvent.PeerSnapshot sent, List<ConfigAction> actions) {
    peers.answered();
    adopt(sent.snapshot(), actions);
  }

  private void publish(ConfigEvent.PublishAsked asked, long nowNanos, List<ConfigAction> actions) {
    Optional<OperationOutcome> known = state.outcome(asked.operationId());
    if (known.isPresent()) {
      actions.add(new ConfigAction.Answer(asked.ticket(), known.get().result()));
      return;
    }
    List<String> reasons = verdicts.finalReasons(state, asked.change());
    if (!reasons.isEmpty()) {
      actions.add(new ConfigAction.Answer(asked.ticket(), new PublishResult.Refused(reasons)));
      return;
    }
    try {
      ConfigRecord record = new ConfigRecord(asked.operationId(), author, asked.change());
      actions.addAll(pending.add(asked, records.encode(record), nowNanos));
    } catch (ManifestException e) {
      PublishResult refused = new PublishResult.Refused(List.of(e.getMessage()));
      actions.add(new ConfigAction.Answer(asked.ticket(), refused));
    }
  }

  private void tick(long nowNanos, List<ConfigAction> actions) {
    actions.addAll(pending.tick(nowNanos));
    boolean patient = caughtUp && nowNanos - behindNanos < options.behindLimit().toNanos();
    if (behind && !patient) {
      peers
          .ask(state.version(), nowNanos)
          .ifPresent(peer -> actions.add(new ConfigAction.AskPeer(peer, state.version() + 1)));
    }
    if (caughtUp && !behind && !silent(nowNanos)) {
      keeper.tick(state, contact.logMillis(nowNanos), nowNanos).ifPresent(actions::add);
    }
    noteSilence(nowNanos, actions);
  }

  private void noteSilence(long nowNanos, List<ConfigAction> actions) {
    boolean silent = silent(nowNanos);
    if (silent != logSilent) {
      EventCode code = silent ? EventCode.LOG_SILENT : EventCode.LOG_HEARD;
      actions.add(ConfigAction.Note.of(code, EventField.of("version", state.version())));
    }
    logSilent = silent;
  }

  private void moved(ConfigState before, long nowNanos, List<ConfigAction> actions) {
    if (state.version() != before.version()) {
      actions.addAll(pending.resolve(state));
      install(before, actions);
    }
    boolean wasBehind = behind;
    behind = state.version() < toldVersion();
    if (behind && !wasBehind) {
      behindNanos = nowNanos;
    }
    boolean told = contact.heardOnce() || peers.toldVersion() > 0;
    if (!caughtUp && told && !behind) {
      caughtUp = true;
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_CAUGHT_UP, EventField.of("version", state.version())));
    }
  }

  private void install(ConfigState before, List<ConfigAction> actions) {
    actions.add(new ConfigAction.Install(state.configuration()));
    boolean changed =
        !state.manifests().equals(before.manifests()) || !state.scopes().equals(before.scopes());
    if (changed) {
      actions.add(
          ConfigAction.Note.of(
              EventCode.CONFIG_APPLIED, EventField.of("version", state.version())));
    }
  }
}
