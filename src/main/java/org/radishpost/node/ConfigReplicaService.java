package org.radishpost.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.radishpost.config.ConfigAction;
import org.radishpost.config.ConfigChange;
import org.radishpost.config.ConfigEvent;
import org.radishpost.config.ConfigFreshness;
import org.radishpost.config.ConfigReplica;
import org.radishpost.config.ConfigReplicaOptions;
import org.radishpost.config.ConfigService;
import org.radishpost.config.ConfigStreams;
import org.radishpost.config.Configuration;
import org.radishpost.config.PublishResult;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import org.radishpost.store.PlatformLog;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;
import reactor.core.publisher.Sinks;
import reactor.core.scheduler.Scheduler;

/**
 * The configuration service of one VM: performs the actions of its {@link ConfigReplica}.
 *
 * <p>Call {@link #start} before the links are started, and {@link #stop} at the end. Thread-safe:
 * all events are handled by one worker of the scheduler.
 */
public final class ConfigReplicaService implements ConfigService {
  private static final Duration LOG_TIMEOUT = Duration.ofSeconds(5);

  private final ConfigReplica replica;
  private final ConfigReplicaOptions options;
  private final PlatformLog log;
  private final Links links;
  private final EventSink events;
  private final Scheduler scheduler;
  private final Scheduler.Worker worker;
  private final Sinks.Empty<Void> stopped = Sinks.empty();
  private final Map<Long, MonoSink<PublishResult>> pendingPublishes = new HashMap<>();
  private final Sinks.Many<Configuration> configurations =
      Sinks.many().replay().latestOrDefault(Configuration.EMPTY);
  private volatile Configuration current = Configuration.EMPTY;
  private volatile boolean caughtUp;
  private volatile long announcedVersion;
  private volatile ConfigFreshness freshness;
  private long lastRequestId;

  /**
   * Creates a service that is not started.
   *
   * @param replica the replica, which must not be used by anything else
   * @param options the options of the replica
   * @param log the platform's log
   * @param links the links to other VMs
   * @param events receives the events
   * @param scheduler provides the time and the worker that handles events
   */
  public ConfigReplicaService(
      ConfigReplica replica,
      ConfigReplicaOptions options,
      PlatformLog log,
      Links links,
      EventSink events,
      Scheduler scheduler) {
    this.replica = replica;
    this.options = options;
    this.log = log;
    this.links = links;
    this.events = events;
    this.scheduler = scheduler;
    this.worker = scheduler.createWorker();
    this.freshness = replica.freshness(nowNanos());
  }

  /** Starts reading the log and to process messages from peers. */
  public void start() {
    links.events().takeUntilOther(stopped.asMono()).subscribe(this::onPeerEvent);
    worker.schedule(() -> replica.start().forEach(this::perform));
    long tickNanos = options.tickInterval().toNanos();
    worker.schedulePeriodically(
        () -> handle(new ConfigEvent.Tick()), tickNanos, tickNanos, TimeUnit.NANOSECONDS);
  }

  /** Stops; each pending publish operation ends with an unknown result at its own timeout. */
  public void stop() {
    stopped.tryEmitEmpty();
    worker.dispose();
  }

  @Override
  public Configuration current() {
    return current;
  }

  @Override
  public Flux<Configuration> changes() {
    return configurations.asFlux();
  }

  @Override
  public Mono<PublishResult> publish(String operationId, ConfigChange change, Duration timeout) {
    Mono<PublishResult> result =
        Mono.create(
            sink -> worker.schedule(() -> startPublish(sink, operationId, change, timeout)));
    PublishResult unknown = new PublishResult.Unknown(operationId);
    Duration guardTimeout = timeout.plus(options.tickInterval().multipliedBy(2));
    return result
        .onErrorReturn(RejectedExecutionException.class, unknown)
        .timeout(guardTimeout, Mono.just(unknown), scheduler);
  }

  @Override
  public boolean caughtUp() {
    return caughtUp;
  }

  /** Returns the version to announce to peers in heartbeats: 0 until this VM has caught up. */
  public long announcedVersion() {
    return announcedVersion;
  }

  /** Returns how up to date the configuration was when the last event or tick was handled. */
  public ConfigFreshness freshness() {
    return freshness;
  }

  private void startPublish(
      MonoSink<PublishResult> sink, String operationId, ConfigChange change, Duration timeout) {
    long requestId = ++lastRequestId;
    pendingPublishes.put(requestId, sink);
    handle(new ConfigEvent.PublishRequested(requestId, operationId, change, timeout));
  }

  private void submit(ConfigEvent event) {
    if (!worker.isDisposed()) {
      worker.schedule(() -> handle(event));
    }
  }

  private void handle(ConfigEvent event) {
    replica.handle(event, nowNanos()).forEach(this::perform);
    caughtUp = replica.caughtUp();
    announcedVersion = replica.announcedVersion();
    freshness = replica.freshness(nowNanos());
  }

  private void perform(ConfigAction action) {
    switch (action) {
      case ConfigAction.ReadLog read -> readLog(read);
      case ConfigAction.ReadSnapshots read -> readSnapshots(read);
      case ConfigAction.Append append -> append(append);
      case ConfigAction.AppendSnapshot append -> appendSnapshot(append);
      case ConfigAction.RequestRecords request ->
          sendToPeer(request.peer(), new LinkMessage.FetchConfigRecords(request.fromOffset()));
      case ConfigAction.SendRecords send ->
          sendToPeer(send.peer(), new LinkMessage.ConfigRecords(send.records()));
      case ConfigAction.SendSnapshot send ->
          sendToPeer(send.peer(), new LinkMessage.ConfigSnapshot(send.snapshot()));
      case ConfigAction.ReportResult report ->
          Optional.ofNullable(pendingPublishes.remove(report.requestId()))
              .ifPresent(sink -> sink.success(report.result()));
      case ConfigAction.Install install -> install(install.configuration());
      case ConfigAction.EmitEvent emit ->
          events.emit(emit.code(), emit.fields().toArray(new EventField[0]));
    }
  }

  private void install(Configuration configuration) {
    current = configuration;
    configurations.emitNext(configuration, Sinks.EmitFailureHandler.FAIL_FAST);
  }

  private void readLog(ConfigAction.ReadLog read) {
    Duration timeout = read.longPoll().plus(LOG_TIMEOUT);
    requestAfter(
        read.pause(),
        log.read(
                ConfigStreams.CONFIG,
                read.fromOffset(),
                options.maxRecordsPerRead(),
                read.longPoll())
            .timeout(timeout, scheduler)
            .<ConfigEvent>map(ConfigEvent.LogRead::new),
        new ConfigEvent.LogReadFailed());
  }

  private void readSnapshots(ConfigAction.ReadSnapshots read) {
    requestAfter(
        read.pause(),
        log.read(ConfigStreams.SNAPSHOT, read.fromOffset(), read.maxRecords(), Duration.ZERO)
            .timeout(LOG_TIMEOUT, scheduler)
            .<ConfigEvent>map(ConfigEvent.SnapshotsRead::new),
        new ConfigEvent.SnapshotsReadFailed());
  }

  private void append(ConfigAction.Append append) {
    String operation = append.operationId();
    requestAfter(
        Duration.ZERO,
        log.append(ConfigStreams.CONFIG, append.payload())
            .timeout(LOG_TIMEOUT, scheduler)
            .<ConfigEvent>map(appended -> new ConfigEvent.Appended(operation, appended)),
        new ConfigEvent.AppendFailed(operation));
  }

  private void appendSnapshot(ConfigAction.AppendSnapshot append) {
    requestAfter(
        Duration.ZERO,
        log.append(ConfigStreams.SNAPSHOT, append.payload())
            .timeout(LOG_TIMEOUT, scheduler)
            .<ConfigEvent>map(appended -> new ConfigEvent.SnapshotAppended(true)),
        new ConfigEvent.SnapshotAppended(false));
  }

  private void requestAfter(Duration pause, Mono<ConfigEvent> request, ConfigEvent onFailure) {
    Mono<ConfigEvent> paused =
        pause.isZero() ? request : Mono.delay(pause, scheduler).then(request);
    paused.onErrorReturn(onFailure).takeUntilOther(stopped.asMono()).subscribe(this::submit);
  }

  private void sendToPeer(VmId peer, LinkMessage message) {
    if (!links.sendMessage(peer, message)) {
      events.emit(EventCode.CONFIG_PEER_UNSERVED, EventField.of("peer", peer));
    }
  }

  private void onPeerEvent(PeerEvent event) {
    switch (event) {
      case PeerEvent.Up up -> submit(new ConfigEvent.PeerConnected(up.peer()));
      case PeerEvent.Down down -> submit(new ConfigEvent.PeerDisconnected(down.peer()));
      case PeerEvent.Released released -> submit(new ConfigEvent.PeerDisconnected(released.peer()));
      case PeerEvent.MessageReceived received -> onPeerMessage(received.peer(), received.message());
    }
  }

  private void onPeerMessage(VmId peer, LinkMessage message) {
    switch (message) {
      case LinkMessage.Heartbeat heartbeat ->
          submit(new ConfigEvent.PeerVersionReported(peer, heartbeat.configVersion()));
      case LinkMessage.FetchConfigRecords fetch ->
          submit(new ConfigEvent.PeerRecordsRequested(peer, fetch.fromOffset()));
      case LinkMessage.ConfigRecords sent ->
          submit(new ConfigEvent.PeerRecordsReceived(peer, sent.records()));
      case LinkMessage.ConfigSnapshot sent ->
          submit(new ConfigEvent.PeerSnapshotReceived(peer, sent.snapshot()));
      default -> {}
    }
  }

  private long nowNanos() {
    return scheduler.now(TimeUnit.NANOSECONDS);
  }
}
