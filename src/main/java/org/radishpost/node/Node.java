package org.radishpost.node;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.radishpost.admin.AdminServer;
import org.radishpost.admission.RetryBudget;
import org.radishpost.config.ConfigRecordCodec;
import org.radishpost.config.ConfigReplica;
import org.radishpost.config.ConfigReplicaOptions;
import org.radishpost.config.ConfigService;
import org.radishpost.config.ConfigVerdicts;
import org.radishpost.config.Configuration;
import org.radishpost.config.SnapshotCodec;
import org.radishpost.errors.StartException;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.HybridClock;
import org.radishpost.events.TimeLine;
import org.radishpost.http.EdgeServer;
import org.radishpost.http.HopClient;
import org.radishpost.http.HopServer;
import org.radishpost.http.HttpSender;
import org.radishpost.lib.Digest;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkOptions;
import org.radishpost.link.PeerEvent;
import org.radishpost.link.TcpLinks;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.membership.MemberTable;
import org.radishpost.platform.PlatformLog;
import org.radishpost.platform.VmEntry;
import org.radishpost.platform.VmList;
import org.radishpost.platform.http.HttpPlatformLog;
import org.radishpost.platform.http.HttpVmList;
import org.radishpost.pool.Pool;
import org.radishpost.pool.PoolLimits;
import org.radishpost.pool.Pools;
import org.radishpost.pool.TargetPolicy;
import org.radishpost.routing.LinkCosts;
import org.radishpost.routing.LocalityPoolChooser;
import org.radishpost.routing.PoolChooser;
import org.radishpost.routing.ProportionalPoolChooser;
import org.radishpost.settings.NodeSettings;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.suspects.SuspectRegistry;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.Exceptions;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;
import reactor.netty.resources.ConnectionProvider;
import reactor.netty.resources.LoopResources;

/**
 * One VM process: the core and its adapters.
 *
 * <p>Create it, {@link #start()} it once, and {@link #stop()} it once.
 */
public final class Node {
  private static final Duration TICK = Duration.ofMillis(2);
  private static final Duration RECONCILE = Duration.ofMillis(20);
  private static final Duration TARGET_IDLE = Duration.ofSeconds(2);
  private static final Duration CONNECT_LIMIT = Duration.ofMillis(250);
  private static final Duration PLATFORM_LIMIT = Duration.ofSeconds(2);
  private static final Duration LOG_RETENTION = Duration.ofDays(1);
  private static final int TARGET_CONNECTIONS = 120;
  private static final int HOP_CONNECTIONS = 512;
  private static final int PLATFORM_CONNECTIONS = 16;
  private static final int TIME_LINE_EVENTS = 10_000;

  private final NodeSettings settings;
  private final Scheduler clock;
  private final EventLog events;
  private final TimeLine timeLine = new TimeLine(TIME_LINE_EVENTS);
  private final LoopResources loops = LoopResources.create("radishpost");
  private final MetricRegistry metrics = new MetricRegistry();
  private final AtomicLong calls = new AtomicLong();
  private final Disposable.Composite running = Disposables.composite();
  private final PoolDirectory directory = new PoolDirectory();
  private final RandomGenerator random;
  private final NodeSecrets secrets;
  private final SuspectRegistry suspects;
  private final HttpSender targetSender;
  private final HttpSender hopSender;
  private final PlatformLog log;
  private final VmList vmList;
  private ConfigReplicaService config;
  private TcpLinks links;
  private MemberTable table;
  private Membership membership;
  private ClaimService claims;
  private OwnedPools owned;
  private PoolChooser chooser;
  private HopClient hops;
  private HopServer hopServer;
  private EdgeServer edgeServer;
  private AdminServer adminServer;
  private Endpoint edge;
  private Endpoint admin;
  private NodeState state;

  /**
   * Creates a process that does not listen yet.
   *
   * @param settings the settings
   * @param secrets the secrets
   * @param clock the clock and timers
   * @param random a source that nobody can foretell
   */
  public Node(NodeSettings settings, NodeSecrets secrets, Scheduler clock, RandomGenerator random) {
    this.settings = settings;
    this.secrets = secrets;
    this.clock = clock;
    this.random = random;
    this.events =
        new EventLog(
            settings.vm(), new HybridClock(() -> clock.now(TimeUnit.MILLISECONDS)), timeLine);
    this.suspects = new SuspectRegistry(settings.vm(), this::tellSuspect);
    this.targetSender =
        new HttpSender("target", clock, loops, TARGET_CONNECTIONS, TARGET_IDLE, CONNECT_LIMIT);
    this.hopSender =
        new HttpSender("hop", clock, loops, HOP_CONNECTIONS, TARGET_IDLE, CONNECT_LIMIT);
    ConnectionProvider platform = ConnectionProvider.create("platform", PLATFORM_CONNECTIONS);
    this.log = new HttpPlatformLog(platform, settings.platform().log(), PLATFORM_LIMIT);
    this.vmList = new HttpVmList(platform, settings.platform().vmList(), PLATFORM_LIMIT);
  }

  /**
   * Starts to listen and to serve.
   *
   * @return this VM as the platform's list should name it
   * @throws StartException if an address is taken
   */
  public VmEntry start() throws StartException {
    hopServer =
        new HopServer(
            settings.hop(),
            settings.limits(),
            clock,
            loops,
            directory::routes,
            new LateLinks(() -> links),
            (call, pool, onTaken) -> owned.handle(call, pool, onTaken),
            calls);
    Endpoint hop = hopServer.start();
    VmEntry self = startLinks(hop);
    startDecisions(self);
    edgeServer =
        new EdgeServer(
            settings.edge(),
            settings.place().region(),
            settings.limits(),
            clock,
            loops,
            directory::routes,
            state,
            router(),
            calls);
    edge = edgeServer.start();
    startAdmin();
    events.emit(
        EventCode.STARTED, EventField.of("edge", edge), EventField.of("place", settings.place()));
    return self;
  }

  private void startAdmin() throws StartException {
    NodeAdmin view =
        new NodeAdmin(state, config, table, links, owned, suspects, claims, metrics, timeLine);
    adminServer = new AdminServer(settings.admin(), settings.tokens(), view, events, clock, loops);
    admin = adminServer.start();
  }

  private VmEntry startLinks(Endpoint hop) throws StartException {
    VmEntry self = new VmEntry(settings.vm(), settings.place(), settings.link(), hop, false);
    links =
        new TcpLinks(
            self,
            secrets.linkKey(),
            LinkOptions.DEFAULT,
            clock,
            events,
            random,
            () -> config.announcedVersion());
    config = configService();
    links.events().subscribe(this::linkEvent);
    links.answerWith(this::answer);
    config.start();
    try {
      return links.start().block();
    } catch (RuntimeException e) {
      if (Exceptions.unwrap(e) instanceof StartException failure) {
        throw failure;
      }
      throw e;
    }
  }

  private ConfigReplicaService configService() {
    ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(LOG_RETENTION);
    ConfigReplica replica =
        new ConfigReplica(
            settings.vm().value(),
            options,
            new ConfigRecordCodec(new ManifestCodec()),
            new SnapshotCodec(new ManifestCodec()),
            new ConfigVerdicts(new ManifestValidator()),
            random,
            clock.now(TimeUnit.NANOSECONDS));
    return new ConfigReplicaService(replica, options, log, links, events, clock);
  }

  private void startDecisions(VmEntry self) {
    table = new MemberTable(self);
    membership = new Membership(table, vmList, links, clock, this::reconcile);
    claims = new ClaimService(log, links, table, clock, events);
    ClaimKeys keys = new ClaimKeys(secrets.linkKey(), secrets.homeKey(), random);
    ClaimGate gate = new ClaimGate(self.id(), claims, keys, clock);
    boolean ownsAll = settings.balancing() != Balancing.OWNER;
    owned = new OwnedPools(directory, table, this::runner, gate, ownsAll);
    hops = new HopClient(self.id(), hopSender, links, clock);
    state = new NodeState(self, config);
    running.add(config.changes().subscribe(this::configuration));
    running.add(membership.start());
    claims.start();
    running.add(every(TICK, owned::tick));
    running.add(every(RECONCILE, this::reconcile));
  }

  private CallRouter router() {
    chooser =
        settings.balancing() == Balancing.OWNER
            ? new LocalityPoolChooser(settings.place(), LinkCosts.DEFAULT, directory, random)
            : new ProportionalPoolChooser(settings.place(), directory, random);
    return new CallRouter(
        directory,
        chooser,
        table,
        owned,
        hops,
        new RetryBudget(RetryBudget.DEFAULT_PERCENT),
        clock);
  }

  private PoolRunner runner(PoolId id) {
    Pool pool =
        Pools.create(
            policy(settings.balancing()),
            id,
            PoolLimits.DEFAULT,
            random,
            suspects,
            () -> config.current().version());
    return new PoolRunner(pool, targetSender, clock, events);
  }

  private static TargetPolicy policy(Balancing balancing) {
    return switch (balancing) {
      case OWNER -> new TargetPolicy.Owner();
      case ROUND_ROBIN -> new TargetPolicy.RoundRobin();
      case TWO_CHOICES -> new TargetPolicy.TwoChoices();
      case LEAST_LOADED -> new TargetPolicy.LeastLoaded();
    };
  }

  private Disposable every(Duration period, Runnable task) {
    return clock.schedulePeriodically(
        task, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void configuration(Configuration configuration) {
    directory.configuration(configuration);
    membership.configuration(configuration);
    reconcile();
  }

  private void reconcile() {
    owned.reconcile();
  }

  private void linkEvent(PeerEvent event) {
    membership.link(event);
    if (!(event instanceof PeerEvent.Told told)) {
      reconcile();
      return;
    }
    switch (told.message()) {
      case LinkMessage.CallTaken taken -> hops.taken(told.peer(), taken.hopSequence());
      case LinkMessage.PoolViews views -> seen(views);
      case LinkMessage.SuspectSeen suspect ->
          suspects.merge(
              told.peer(),
              suspect.fingerprint(),
              suspect.crashes(),
              clock.now(TimeUnit.NANOSECONDS));
      default -> {}
    }
  }

  private void seen(LinkMessage.PoolViews views) {
    synchronized (chooser) {
      long now = clock.now(TimeUnit.NANOSECONDS);
      views.views().forEach(view -> chooser.seen(view, now));
    }
  }

  private Mono<LinkMessage> answer(VmId peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.ClaimAsk ask -> claims.answerAsk(ask);
      case LinkMessage.ClaimEnded ended -> claims.answerEnd(ended);
      default -> Mono.empty();
    };
  }

  private void tellSuspect(Digest fingerprint, int points) {
    events.emit(EventCode.SUSPECT_COUNTED, EventField.of("points", points));
    tellAll(new LinkMessage.SuspectSeen(fingerprint, points));
  }

  private void tellAll(LinkMessage message) {
    table.all().stream()
        .map(member -> member.entry().id())
        .filter(vm -> !vm.equals(table.self().id()))
        .forEach(vm -> links.tell(vm, message));
  }

  /** Returns the address at which callers are served. */
  public Endpoint edge() {
    return edge;
  }

  /** Returns the address of the administration API. */
  public Endpoint admin() {
    return admin;
  }

  /** Returns the configuration in force, and the way to change it. */
  public ConfigService config() {
    return config;
  }

  /**
   * Stops gracefully: turns unready, waits for the platform's balancer, hands its pools over and
   * lets running requests end.
   */
  public Mono<Void> stop() {
    events.emit(EventCode.STOPPING);
    state.stopping();
    return Mono.delay(settings.shutdown().balancerWait(), clock)
        .then(Mono.fromRunnable(this::handOver))
        .then(edgeServer.inFlight().idle(clock, settings.shutdown().drainLimit()))
        .then(hopServer.inFlight().idle(clock, settings.shutdown().drainLimit()))
        .then(Mono.defer(this::close));
  }

  private void handOver() {
    membership.leaving();
    links.farewell();
    edgeServer.refuseConnections();
  }

  private Mono<Void> close() {
    running.dispose();
    claims.close();
    config.stop();
    events.emit(EventCode.STOPPED);
    return links
        .stop()
        .then(edgeServer.stop())
        .then(adminServer.stop())
        .then(hopServer.stop())
        .then(targetSender.close())
        .then(hopSender.close())
        .then(loops.disposeLater(Duration.ZERO, Duration.ofSeconds(1)));
  }
}
