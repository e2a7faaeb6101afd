package org.radishpost.node;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.radishpost.admin.AdminServer;
import org.radishpost.config.ConfigService;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.HybridClock;
import org.radishpost.events.Timeline;
import org.radishpost.http.EdgeProtocol;
import org.radishpost.http.EdgeServer;
import org.radishpost.http.HeaderNames;
import org.radishpost.http.HopClient;
import org.radishpost.http.HopServer;
import org.radishpost.http.HttpSender;
import org.radishpost.http.SenderOptions;
import org.radishpost.lib.Endpoint;
import org.radishpost.link.LinkOptions;
import org.radishpost.link.TcpLinks;
import org.radishpost.settings.NodeSettings;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import org.radishpost.store.http.HttpPlatformLog;
import org.radishpost.store.http.HttpVmList;
import reactor.core.Disposable;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * One VM process: the core with its adapters.
 *
 * <p>Call {@link #start()} and {@link #stop()} once each.
 */
public final class Node {
  private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(250);
  private static final Duration PLATFORM_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration LOG_RETENTION = Duration.ofDays(1);
  private static final int MAX_CONNECTIONS_PER_TARGET = 120;
  private static final int MAX_CONNECTIONS_PER_VM = 512;
  private static final int MAX_PLATFORM_CONNECTIONS = 16;
  private static final int MAX_TIMELINE_EVENTS = 10_000;

  private final NodeSettings settings;
  private final RuntimeClock clock;
  private final RuntimeClock linkClock;
  private final EventLog events;
  private final HybridClock hybridClock;
  private final Timeline timeline = new Timeline(MAX_TIMELINE_EVENTS);
  private final LoopResources loops = LoopResources.create("radishpost");
  private final NodeMetrics metrics = new NodeMetrics(new MetricRegistry());
  private final AtomicLong callCounter = new AtomicLong();
  private final RandomGenerator random;
  private final NodeSecrets secrets;
  private final HttpSender targetSender;
  private final HttpSender hopSender;
  private final PlatformLog log;
  private final VmList vmList;
  private volatile VmCore core;
  private TcpLinks links;
  private HopServer hopServer;
  private EdgeServer edgeServer;
  private AdminServer adminServer;
  private Disposable readinessReporter;
  private Endpoint edgeAddress;
  private Endpoint adminAddress;

  /**
   * Creates a process that is not listening yet.
   *
   * @param settings the settings
   * @param secrets the keys of this VM
   * @param clock provides the time and runs tasks
   * @param random a source of unpredictable random numbers
   */
  public Node(
      NodeSettings settings, NodeSecrets secrets, RuntimeClock clock, RandomGenerator random) {
    this.settings = settings;
    this.secrets = secrets;
    this.clock = clock;
    this.linkClock = clock.onDedicatedThread("link-" + settings.vm());
    this.random = random;
    this.hybridClock = new HybridClock(() -> clock.now(TimeUnit.MILLISECONDS));
    this.events = new EventLog(settings.vm(), hybridClock, timeline, metrics);
    this.targetSender =
        new HttpSender(
            SenderOptions.forNative(
                "target", MAX_CONNECTIONS_PER_TARGET, IDLE_TIMEOUT, CONNECT_TIMEOUT),
            clock,
            loops);
    this.hopSender =
        new HttpSender(
            SenderOptions.forHops("hop", MAX_CONNECTIONS_PER_VM, IDLE_TIMEOUT, CONNECT_TIMEOUT),
            clock,
            loops);
    ConnectionProvider platform = ConnectionProvider.create("platform", MAX_PLATFORM_CONNECTIONS);
    this.log = new HttpPlatformLog(platform, settings.platform().log(), PLATFORM_TIMEOUT);
    this.vmList = new HttpVmList(platform, settings.platform().vmList(), PLATFORM_TIMEOUT);
  }

  /**
   * Starts listening and serving requests.
   *
   * @return the entry for this VM in the platform's list of VMs
   * @throws StartException if an address is already in use
   */
  public VmEntry start() throws StartException {
    hopServer =
        new HopServer(
            settings.hop(),
            settings.limits(),
            clock,
            loops,
            () -> core.directory().routes(),
            new DeferredLinks(() -> links),
            (call, pool, onTargetAccepted) ->
                core.ownedPools().handle(call, pool, onTargetAccepted),
            callCounter,
            hybridClock);
    final VmEntry self = startCore(hopServer.start());
    edgeServer =
        new EdgeServer(
            settings.edge(),
            EdgeProtocol.NATIVE,
            settings.place().region(),
            settings.limits(),
            clock,
            loops,
            core.directory()::routes,
            core.readiness(),
            new MeteredCalls(core.callHandler(), metrics, clock),
            callCounter);
    edgeAddress = edgeServer.start();
    startAdmin();
    events.emit(
        EventCode.STARTED,
        EventField.of("edge", edgeAddress),
        EventField.of("place", settings.place()));
    return self;
  }

  private void startAdmin() throws StartException {
    NodeAdmin adminView = new NodeAdmin(core, links, metrics.registry(), timeline);
    adminServer =
        new AdminServer(settings.admin(), settings.tokens(), adminView, events, clock, loops);
    adminAddress = adminServer.start();
  }

  private VmEntry startCore(Endpoint hopAddress) throws StartException {
    VmEntry self = new VmEntry(settings.vm(), settings.place(), settings.link(), hopAddress, false);
    links =
        new TcpLinks(
            self,
            secrets.linkKey(),
            LinkOptions.DEFAULT,
            linkClock,
            events,
            random,
            () -> core.config().announcedVersion());
    core =
        new VmCore(
            self,
            settings.balancing(),
            LOG_RETENTION,
            secrets,
            log,
            vmList,
            links,
            links::setPersistentPeers,
            new MeteredSender(targetSender, metrics, HeaderNames.DEADLINE_MILLIS, clock),
            new MeteredHops(
                new HopClient(self.id(), hopSender, links, clock, hybridClock), metrics, clock),
            clock,
            random,
            events);
    metrics.registerGauges(core, links);
    core.start();
    readinessReporter = new ReadinessReporter(core.readiness(), events, clock).start();
    try {
      return links.start().block();
    } catch (RuntimeException e) {
      if (Exceptions.unwrap(e) instanceof StartException failure) {
        throw failure;
      }
      throw e;
    }
  }

  /** Returns the address at which callers are served. */
  public Endpoint edgeAddress() {
    return edgeAddress;
  }

  /** Returns the address of the administration API. */
  public Endpoint adminAddress() {
    return adminAddress;
  }

  /** Returns the service that reads and changes the configuration. */
  public ConfigService config() {
    return core.config();
  }

  /**
   * Stops gracefully: reports that this VM is not ready, waits until the platform's load balancer
   * has removed it, gives up its pools and waits for running requests.
   */
  public Mono<Void> stop() {
    return Mono.defer(this::stopNow);
  }

  private Mono<Void> stopNow() {
    events.emit(EventCode.STOPPING);
    core.readiness().markStopping();
    return Mono.delay(settings.shutdown().balancerWait(), clock)
        .then(Mono.fromRunnable(this::handOver))
        .then(edgeServer.inFlightRequests().awaitIdle(clock, settings.shutdown().drainLimit()))
        .then(hopServer.inFlightRequests().awaitIdle(clock, settings.shutdown().drainLimit()))
        .then(Mono.defer(this::close));
  }

  private void handOver() {
    core.releaseOwnership();
    links.announceShutdown();
    edgeServer.stopAccepting();
  }

  private Mono<Void> close() {
    readinessReporter.dispose();
    core.close();
    events.emit(EventCode.STOPPED);
    return links
        .stop()
        .doFinally(signal -> linkClock.dispose())
        .then(edgeServer.stop())
        .then(adminServer.stop())
        .then(hopServer.stop())
        .then(targetSender.close())
        .then(hopSender.close())
        .then(loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)));
  }
}
