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
import org.radishpost.admission.ServiceRetryBudget;
import org.radishpost.config.Configuration;
import org.radishpost.direct.DirectParts;
import org.radishpost.errors.PlatformDocumentException;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.HybridClock;
import org.radishpost.events.TimeLine;
import org.radishpost.feed.Follower;
import org.radishpost.feed.Relay;
import org.radishpost.feed.tcp.RelayServer;
import org.radishpost.feed.tcp.TcpRelayDialer;
import org.radishpost.http.EdgeServer;
import org.radishpost.http.HttpSender;
import org.radishpost.http.PageServer;
import org.radishpost.http.Responses;
import org.radishpost.http.SenderOptions;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.ServiceName;
import org.radishpost.manifest.ServiceSpec;
import org.radishpost.placement.TargetDirectory;
import org.radishpost.platform.PlatformFeed;
import org.radishpost.platform.PlatformProtocol;
import org.radishpost.platform.PlatformTargets;
import org.radishpost.platform.StoreClient;
import org.radishpost.routing.RouteTable;
import org.radishpost.routing.RouteTables;
import org.radishpost.settings.EntrySettings;
import org.radishpost.settings.NodeSettings.LimitSettings;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.netty.resources.LoopResources;

/**
 * One VM process on the users' platform: it keeps nothing and sends calls straight to targets.
 *
 * <p>All work runs on one thread. Create it, {@link #start()} it once, and {@link #stop()} it once.
 */
public final class EntryNode {
  private static final LimitSettings LIMITS =
      new LimitSettings(65_536, 1 << 20, 4_000, 3_000, Duration.ofSeconds(60));
  private static final Duration TARGET_IDLE = Duration.ofSeconds(8);
  private static final Duration CONNECT_LIMIT = Duration.ofMillis(300);

  /** Small enough that what a target bears suffices for all entries. */
  private static final int TARGET_CONNECTIONS = 8;

  /** Relays send a heartbeat with each tick. */
  private static final Duration TICK = Duration.ofMillis(250);

  /** The balancer asks each second and takes a VM out after two misses. */
  private static final Duration BALANCER_WAIT = Duration.ofMillis(3_000);

  private static final Duration EXIT_RESERVE = Duration.ofMillis(500);
  private static final double RETRY_RATIO_USED = 0.75;
  private static final double RETRY_RESERVE = 1.5;
  private static final int TIME_LINE_EVENTS = 1_000;

  private volatile EntrySettings settings;
  private final LoopResources loops = LoopResources.create("radishpost", 1, true);
  private final RuntimeClock clock;
  private final EventLog events;
  private final NodeMetrics metrics = new NodeMetrics(new MetricRegistry());
  private final TargetDirectory directory;
  private final EntryReadiness readiness;
  private final HttpSender sender;
  private final EdgeServer edge;
  private final PageServer readinessPages;
  private final PageServer metricsPages;
  private final PlatformFeed feed;
  private final Relay relay;
  private final Optional<RelayServer> relayServer;
  private final Follower follower;
  private Optional<Endpoint> relayAddress = Optional.empty();
  private boolean stopping;
  private Endpoint metricsAddress;
  private Endpoint frontAddress;
  private Endpoint readinessAddress;
  private volatile Configuration configuration = Configuration.EMPTY;
  private volatile RouteTable routes = RouteTables.longestPrefix(Configuration.EMPTY);

  /**
   * Creates a process that does not listen yet.
   *
   * @param settings the settings
   * @param metricsAddress where metrics are served
   * @param store the address of the platform's store
   * @param wallClock the clock of the process
   */
  public EntryNode(
      EntrySettings settings, Endpoint metricsAddress, Endpoint store, RuntimeClock wallClock) {
    this.settings = settings;
    EventLoop loop = (EventLoop) loops.onServer(false).next();
    this.clock = wallClock.on(loop);
    HybridClock stamps = new HybridClock(() -> clock.now(TimeUnit.MILLISECONDS));
    this.events = new EventLog(settings.vm(), stamps, new TimeLine(TIME_LINE_EVENTS), metrics);
    this.directory = new TargetDirectory(events);
    this.readiness = new EntryReadiness(() -> configuration.version() > 0, directory::heard);
    this.sender =
        new HttpSender(
            new SenderOptions(
                "target",
                TARGET_CONNECTIONS,
                TARGET_IDLE,
                CONNECT_LIMIT,
                Optional.of(PlatformProtocol.REQUEST_ID),
                true),
            clock,
            loops);
    this.relay = new Relay(settings.place());
    this.feed =
        new PlatformFeed(
            new StoreClient(store, clock, loops),
            () -> this.settings.zones(),
            this::configured,
            directory,
            this::relaying,
            relay,
            clock,
            events);
    this.follower =
        new Follower(
            settings.place(),
            feed,
            new TcpRelayDialer(clock, loops),
            () -> clock.now(TimeUnit.NANOSECONDS),
            random(),
            events);
    this.relayServer =
        settings.relay().map(address -> new RelayServer(address, relay, clock, loops));
    this.edge = edge();
    this.readinessPages =
        new PageServer(
            settings.readiness(), Map.of(PlatformProtocol.READY_PATH, readiness::response), loops);
    this.metricsPages =
        new PageServer(
            metricsAddress,
            Map.of("/metrics", () -> Responses.text(200, PrometheusText.of(metrics.registry()))),
            loops);
  }

  private RandomGenerator random() {
    return new SplittableRandom(settings.vm().hashCode() ^ clock.now(TimeUnit.NANOSECONDS));
  }

  private boolean relaying() {
    return follower.isRelay();
  }

  private EdgeServer edge() {
    ServiceRetryBudget retries =
        new ServiceRetryBudget(
            () -> settings.bounds().retryRatio() * RETRY_RATIO_USED, RETRY_RESERVE);
    return new EdgeServer(
        settings.front(),
        PlatformProtocol.EDGE,
        settings.place().region(),
        LIMITS,
        clock,
        loops,
        () -> routes,
        readiness,
        new MeteredCalls(
            DirectParts.router(
                settings.vm(),
                settings.place(),
                () -> configuration,
                directory,
                new PlatformTargets(this::statusPath),
                new MeteredSender(sender, metrics, clock),
                retries,
                PlatformProtocol.REQUEST_ID,
                clock,
                random(),
                events),
            metrics,
            clock),
        new AtomicLong());
  }

  /**
   * Starts to listen and to serve.
   *
   * @throws StartException if an address is taken
   */
  public void start() throws StartException {
    readinessAddress = readinessPages.start();
    frontAddress = edge.start();
    metricsAddress = metricsPages.start();
    if (relayServer.isPresent()) {
      relayAddress = Optional.of(relayServer.get().start());
    }
    clock.schedule(this::startFeed);
    events.emit(
        EventCode.STARTED,
        EventField.of("edge", settings.front()),
        EventField.of("place", settings.place()));
  }

  private void startFeed() {
    follower.relays(relayAddress, settings.relays());
    follower.start();
    Flux.interval(TICK, clock).onBackpressureDrop().subscribe(tick -> tick());
  }

  private void tick() {
    directory.tick(clock.now(TimeUnit.NANOSECONDS));
    relay.tick(!stopping && !follower.following() && feed.fresh());
    follower.tick();
  }

  /** Takes over settings that have changed: zones, bounds and relays; own addresses stay. */
  public void reload(EntrySettings newest) {
    settings = newest;
    clock.schedule(() -> follower.relays(relayAddress, newest.relays()));
    events.emit(
        EventCode.SETTINGS_RELOADED,
        EventField.of("zones", newest.zones().size()),
        EventField.of("grace", newest.bounds().grace()));
  }

  /** Takes note that changed settings can't be read; those before stay in force. */
  public void settingsUnreadable(PlatformDocumentException why) {
    events.emit(EventCode.SETTINGS_UNREADABLE, EventField.of("why", why.getMessage()));
  }

  /** Returns the address at which callers are served. */
  public Endpoint frontAddress() {
    return frontAddress;
  }

  /** Returns the address at which this VM is a relay for others, if it is one for anybody. */
  public Optional<Endpoint> relayAddress() {
    return relayAddress;
  }

  /** Tells whether this VM knows what the store says from a relay. */
  public boolean followsRelay() {
    return follower.following();
  }

  /** Returns the address at which metrics are served. */
  public Endpoint metricsAddress() {
    return metricsAddress;
  }

  /** Returns the address at which the balancer asks for readiness. */
  public Endpoint readinessAddress() {
    return readinessAddress;
  }

  /**
   * Stops gracefully: turns unready, serves on until the platform's balancer has noticed, and lets
   * running requests end.
   */
  public Mono<Void> stop() {
    return Mono.defer(this::stopNow).subscribeOn(clock);
  }

  private Mono<Void> stopNow() {
    events.emit(EventCode.STOPPING);
    stopping = true;
    readiness.stopping();
    Duration drain = settings.bounds().grace().minus(BALANCER_WAIT).minus(EXIT_RESERVE);
    return Mono.delay(BALANCER_WAIT, clock)
        .then(Mono.fromRunnable(this::refuse))
        .then(edge.inFlightRequests().awaitIdle(clock, drain))
        .then(Mono.fromRunnable(this::stopped));
  }

  private void stopped() {
    relayServer.ifPresent(RelayServer::stop);
    events.emit(EventCode.STOPPED);
  }

  private void refuse() {
    readiness.closed();
    edge.stopAccepting();
  }

  private void configured(Configuration newest) {
    Configuration before = configuration;
    if (newest.version() != before.version()) {
      routes = RouteTables.longestPrefix(newest);
    }
    configuration = newest;
    events.emit(
        EventCode.CONFIG_APPLIED,
        EventField.of("version", newest.version()),
        EventField.of("before", before.version()),
        EventField.of("out", newest.out()));
  }

  private String statusPath(ServiceName service) {
    return configuration.manifests().values().stream()
        .flatMap(versioned -> versioned.manifest().services().stream())
        .filter(spec -> spec.name().equals(service))
        .map(ServiceSpec::probe)
        .map(probe -> probe.path())
        .findFirst()
        .orElse("/");
  }
}
