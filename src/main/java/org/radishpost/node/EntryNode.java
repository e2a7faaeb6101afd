package org.radishpost.node;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.radishpost.admin.PrometheusText;
import org.radishpost.admission.ServiceBudget;
import org.radishpost.config.Configuration;
import org.radishpost.direct.DirectRouterFactory;
import org.radishpost.direct.SlotClient;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.HybridClock;
import org.radishpost.events.Timeline;
import org.radishpost.feed.Follower;
import org.radishpost.feed.Relay;
import org.radishpost.feed.tcp.RelayServer;
import org.radishpost.feed.tcp.TcpRelayDialer;
import org.radishpost.http.ByteBudget;
import org.radishpost.http.EdgeServer;
import org.radishpost.http.HttpSender;
import org.radishpost.http.PageServer;
import org.radishpost.http.ResponseBuffering;
import org.radishpost.http.Responses;
import org.radishpost.http.SenderOptions;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.placement.RouteServiceTimes;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.platform.PlatformFeed;
import org.radishpost.platform.PlatformProtocol;
import org.radishpost.platform.PlatformTargetProtocol;
import org.radishpost.platform.StoreClient;
import org.radishpost.routing.RouteTable;
import org.radishpost.routing.RouteTables;
import org.radishpost.settings.EntrySettings;
import org.radishpost.settings.NodeSettings.LimitSettings;
import org.radishpost.slots.SlotBroker;
import org.radishpost.suspects.CrashHistory;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;
import reactor.netty.resources.LoopResources;

/**
 * One entry process. It stores no data and sends calls directly to targets.
 *
 * <p>All work runs on one thread. Call {@link #start()} and {@link #stop()} once each.
 */
public final class EntryNode {
  private static final LimitSettings LIMITS =
      new LimitSettings(65_536, 1 << 20, 4_000, 3_000, Duration.ofSeconds(60));
  private static final Duration TARGET_IDLE_TIMEOUT = Duration.ofSeconds(8);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** Low enough that the connections of all entries together stay within the limit of a target. */
  private static final int MAX_CONNECTIONS_PER_TARGET = 8;

  /** Relays send a heartbeat on each tick. */
  private static final Duration TICK_INTERVAL = Duration.ofMillis(250);

  /**
   * The load balancer of the platform checks readiness every second and removes a VM after two
   * failures.
   */
  private static final Duration BALANCER_REACTION_TIME = Duration.ofMillis(3_000);

  private static final Duration EXIT_MARGIN = Duration.ofMillis(500);
  private static final double RETRY_RATIO_SHARE = 0.75;
  private static final double RETRY_BUDGET_CAPACITY = 1.5;

  /** The responses that are being buffered take at most the heap divided by this. */
  private static final int RESPONSE_HEAP_DIVISOR = 8;

  private static final int MAX_TIMELINE_EVENTS = 1_000;

  private volatile EntrySettings settings;
  private final LoopResources loops = LoopResources.create("radishpost", 1, true);
  private final RuntimeClock clock;
  private final EventLog events;
  private final NodeMetrics metrics = new NodeMetrics(new MetricRegistry());
  private final TargetDirectory directory;
  private final EntryReadiness readiness;
  private final LoadSummary loadSummary;
  private final ResponseFaultReports responseFaults;
  private final CrashHistory crashes;
  private final ByteBudget responseBudget =
      new ByteBudget(Runtime.getRuntime().maxMemory() / RESPONSE_HEAP_DIVISOR);
  private final HttpSender sender;
  private final EdgeServer edgeServer;
  private final PageServer readinessServer;
  private final PageServer metricsServer;
  private final PlatformFeed platformFeed;
  private final Relay relay;
  private final Optional<RelayServer> relayServer;
  private final Follower follower;
  private final SlotClient slotClient;
  private Optional<Endpoint> relayAddress = Optional.empty();
  private final Sinks.Empty<Void> stopSending = Sinks.empty();
  private boolean stopping;
  private Endpoint metricsAddress;
  private Endpoint frontAddress;
  private Endpoint readinessAddress;
  private volatile Configuration configuration = Configuration.EMPTY;
  private volatile RouteTable routes = RouteTables.longestPrefix(Configuration.EMPTY);

  /**
   * Creates a process that is not listening yet.
   *
   * @param settings the settings
   * @param metricsAddress the address at which metrics are served
   * @param store the address of the platform's store
   * @param processClock the clock of the process
   */
  public EntryNode(
      EntrySettings settings, Endpoint metricsAddress, Endpoint store, RuntimeClock processClock) {
    this.settings = settings;
    EventLoop loop = (EventLoop) loops.onServer(false).next();
    this.clock = processClock.onExecutor(loop);
    HybridClock hybridClock = new HybridClock(() -> clock.now(TimeUnit.MILLISECONDS));
    this.events =
        new EventLog(settings.vm(), hybridClock, new Timeline(MAX_TIMELINE_EVENTS), metrics);
    this.directory = new TargetDirectory(events);
    this.loadSummary = new LoadSummary(metrics, events, TICK_INTERVAL);
    this.crashes = new CrashHistory(() -> clock.now(TimeUnit.NANOSECONDS));
    metrics.registerCrashes(crashes);
    this.readiness = new EntryReadiness(() -> configuration.version() > 0, directory::loaded);
    this.sender =
        new HttpSender(
            new SenderOptions(
                "target",
                MAX_CONNECTIONS_PER_TARGET,
                TARGET_IDLE_TIMEOUT,
                CONNECT_TIMEOUT,
                Optional.of(PlatformProtocol.REQUEST_ID),
                true),
            clock,
            loops);
    metrics.registerResponses(responseBudget, sender.counters());
    metrics.registerMalformedResponses("target", sender.counters());
    this.responseFaults = new ResponseFaultReports(sender.counters(), this::targetName, events);
    this.relay = new Relay(settings.place(), createSlotBroker(), crashes);
    TcpRelayDialer relayDialer = new TcpRelayDialer(clock, loops);
    this.slotClient =
        new SlotClient(
            settings.place().zone(), relayDialer, clock, createRandom(), events, crashes);
    StoreClient storeClient = new StoreClient(store, clock, loops);
    metrics.registerMalformedResponses("store", storeClient.counters());
    metrics.registerStore(storeClient);
    this.platformFeed =
        new PlatformFeed(
            storeClient,
            () -> this.settings.zones(),
            this::onConfiguration,
            directory,
            this::isRelay,
            relay,
            clock,
            events);
    this.follower =
        new Follower(
            settings.place(),
            platformFeed,
            relayDialer,
            () -> clock.now(TimeUnit.NANOSECONDS),
            createRandom(),
            events);
    this.relayServer =
        settings.relay().map(address -> new RelayServer(address, relay, clock, loops));
    this.edgeServer = createEdgeServer();
    this.readinessServer =
        new PageServer(
            settings.readiness(), Map.of(PlatformProtocol.READY_PATH, readiness::response), loops);
    this.metricsServer =
        new PageServer(
            metricsAddress,
            Map.of("/metrics", () -> Responses.text(200, PrometheusText.of(metrics.registry()))),
            loops);
  }

  private String targetName(Endpoint address) {
    return directory
        .findAt(address)
        .map(tracked -> tracked.target().id().value())
        .orElseGet(address::toString);
  }

  private RandomGenerator createRandom() {
    return new SplittableRandom(settings.vm().hashCode() ^ clock.now(TimeUnit.NANOSECONDS));
  }

  private SlotBroker createSlotBroker() {
    return new SlotBroker(
        directory,
        () -> configuration,
        new RouteServiceTimes(),
        () -> clock.now(TimeUnit.NANOSECONDS),
        (delayNanos, task) -> clock.schedule(task, delayNanos, TimeUnit.NANOSECONDS),
        createRandom());
  }

  private boolean isRelay() {
    return follower.isRelay();
  }

  private EdgeServer createEdgeServer() {
    ServiceBudget retryBudget =
        new ServiceBudget(
            () -> settings.bounds().retryRatio() * RETRY_RATIO_SHARE, RETRY_BUDGET_CAPACITY);
    return new EdgeServer(
        settings.edge(),
        PlatformProtocol.EDGE,
        settings.place().region(),
        LIMITS,
        clock,
        loops,
        () -> routes,
        readiness,
        new MeteredCalls(
            DirectRouterFactory.create(
                settings.vm(),
                settings.place(),
                () -> configuration,
                directory,
                slotClient,
                new PlatformTargetProtocol(this::probePath),
                new MeteredSender(sender, metrics, PlatformProtocol.DEADLINE_MILLIS, clock),
                new ResponseBuffering(responseBudget),
                retryBudget,
                crashes,
                PlatformProtocol.REQUEST_ID,
                clock,
                createRandom(),
                stopSending.asMono(),
                events),
            metrics,
            clock),
        new AtomicLong());
  }

  /**
   * Starts listening and serving requests.
   *
   * @throws StartException if an address is already in use
   */
  public void start() throws StartException {
    readinessAddress = readinessServer.start();
    frontAddress = edgeServer.start();
    metricsAddress = metricsServer.start();
    if (relayServer.isPresent()) {
      relayAddress = Optional.of(relayServer.get().start());
    }
    clock.schedule(this::startFeed);
    events.emit(
        EventCode.STARTED,
        EventField.of("edge", settings.edge()),
        EventField.of("place", settings.place()));
  }

  private void startFeed() {
    setRelays(settings);
    follower.start();
    Flux.interval(TICK_INTERVAL, clock).onBackpressureDrop().subscribe(tick -> tick());
  }

  private void setRelays(EntrySettings current) {
    follower.setRelays(relayAddress, current.relays());
    slotClient.setRelays(current.relays());
  }

  private void tick() {
    loadSummary.tick(clock.now(TimeUnit.NANOSECONDS));
    responseFaults.tick();
    directory.removeExpired(clock.now(TimeUnit.NANOSECONDS));
    directory.registerHeldBack(clock.now(TimeUnit.NANOSECONDS));
    relay.tick(!stopping && !follower.isFollowing() && platformFeed.isStoreReachable());
    follower.tick();
    slotClient.tick();
  }

  /**
   * Applies changed zones, bounds and relays; changes of this VM's own addresses have no effect.
   */
  public void reload(EntrySettings newSettings) {
    settings = newSettings;
    clock.schedule(() -> setRelays(newSettings));
    events.emit(
        EventCode.SETTINGS_RELOADED,
        EventField.of("zones", newSettings.zones().size()),
        EventField.of("grace", newSettings.bounds().gracePeriod()));
  }

  /** Reports that changed settings cannot be read; the previous settings stay active. */
  public void reportUnreadableSettings(PlatformDocumentException cause) {
    events.emit(EventCode.SETTINGS_UNREADABLE, EventField.of("why", cause.getMessage()));
  }

  /** Returns the address at which callers are served. */
  public Endpoint frontAddress() {
    return frontAddress;
  }

  /**
   * Returns the address at which this VM serves other VMs as a relay, if it is set up as a relay.
   */
  public Optional<Endpoint> relayAddress() {
    return relayAddress;
  }

  /** Returns whether this VM receives the data of the store from a relay. */
  public boolean isFollowingRelay() {
    return follower.isFollowing();
  }

  /** Returns the address at which metrics are served. */
  public Endpoint metricsAddress() {
    return metricsAddress;
  }

  /** Returns the address at which the platform's load balancer checks readiness. */
  public Endpoint readinessAddress() {
    return readinessAddress;
  }

  /**
   * Stops gracefully: reports that this VM is not ready, continues to serve until the platform's
   * load balancer has removed it, and waits for running requests.
   */
  public Mono<Void> stop() {
    return Mono.defer(this::stopNow).subscribeOn(clock);
  }

  private Mono<Void> stopNow() {
    events.emit(EventCode.STOPPING);
    stopping = true;
    readiness.markStopping();
    Duration drainTimeout =
        settings.bounds().gracePeriod().minus(BALANCER_REACTION_TIME).minus(EXIT_MARGIN);
    return Mono.delay(BALANCER_REACTION_TIME, clock)
        .then(Mono.fromRunnable(this::refuseCalls))
        .then(edgeServer.inFlightRequests().awaitIdle(clock, drainTimeout))
        .then(Mono.fromRunnable(this::finishStop));
  }

  private void finishStop() {
    relayServer.ifPresent(RelayServer::stop);
    events.emit(EventCode.STOPPED);
  }

  /** Ends the admission of calls; the calls that were sent have the rest of the time to finish. */
  private void refuseCalls() {
    readiness.markClosed();
    edgeServer.stopAccepting();
    stopSending.tryEmitEmpty();
  }

  private void onConfiguration(Configuration newConfiguration) {
    Configuration previous = configuration;
    if (newConfiguration.version() != previous.version()) {
      routes = RouteTables.longestPrefix(newConfiguration);
    }
    configuration = newConfiguration;
    events.emit(
        EventCode.CONFIG_APPLIED,
        EventField.of("version", newConfiguration.version()),
        EventField.of("before", previous.version()),
        EventField.of("out", newConfiguration.outOfService()));
  }

  private String probePath(ServiceName service) {
    return configuration.manifests().values().stream()
        .flatMap(versioned -> versioned.manifest().services().stream())
        .filter(spec -> spec.name().equals(service))
        .map(ServiceSpec::probe)
        .map(probe -> probe.path())
        .findFirst()
        .orElse("/");
  }
}
