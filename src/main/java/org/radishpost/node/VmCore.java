package org.radishpost.node;

import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.radishpost.admission.RetryBudget;
import org.radishpost.config.ConfigChangeRules;
import org.radishpost.config.ConfigRecordCodec;
import org.radishpost.config.ConfigReplica;
import org.radishpost.config.ConfigReplicaOptions;
import org.radishpost.config.Configuration;
import org.radishpost.config.SnapshotCodec;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.HopSender;
import org.radishpost.lib.Digest;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import org.radishpost.manifest.ManifestCodec;
import org.radishpost.manifest.ManifestValidator;
import org.radishpost.membership.Member;
import org.radishpost.membership.MemberTable;
import org.radishpost.pool.BalancingPolicy;
import org.radishpost.pool.Pool;
import org.radishpost.pool.PoolFactory;
import org.radishpost.pool.PoolLimits;
import org.radishpost.routing.LinkCosts;
import org.radishpost.routing.LocalityPoolChooser;
import org.radishpost.routing.PoolChooser;
import org.radishpost.routing.ProportionalPoolChooser;
import org.radishpost.settings.NodeSettings.Balancing;
import org.radishpost.store.PlatformLog;
import org.radishpost.store.VmEntry;
import org.radishpost.store.VmList;
import org.radishpost.suspects.SuspectRegistry;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Scheduler;

/**
 * The logic of one VM. It depends only on interfaces, so tests can run it without sockets.
 *
 * <p>Call {@link #start} once, before the links are started, and {@link #close} once.
 */
final class VmCore {
  private static final Duration POOL_TICK_INTERVAL = Duration.ofMillis(2);
  private static final Duration RECONCILE_INTERVAL = Duration.ofMillis(20);

  private final VmEntry self;
  private final Balancing balancing;
  private final Links links;
  private final CallSender targetSender;
  private final HopSender hops;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final EventSink events;
  private final PoolDirectory directory = new PoolDirectory();
  private final Disposable.Composite subscriptions = Disposables.composite();
  private final SuspectRegistry suspects;
  private final ConfigReplicaService config;
  private final AtomicBoolean reconcileScheduled = new AtomicBoolean();
  private final MemberTable members;
  private final Membership membership;
  private final ClaimService claims;
  private final OwnedPools ownedPools;
  private final PoolChooser chooser;
  private final CallRouter router;
  private final NodeReadiness readiness;

  /**
   * Creates the core of a VM.
   *
   * @param self this VM
   * @param balancing how calls are distributed over targets
   * @param retention how long the platform's log keeps records
   * @param secrets the keys of this VM
   * @param log the platform's log
   * @param vmList the platform's list of VMs
   * @param links the links to other VMs
   * @param maintainLinks receives the VMs that this VM must stay linked to
   * @param targetSender sends calls to targets
   * @param hops sends calls to other VMs
   * @param clock provides the time and runs tasks
   * @param random a source of unpredictable random numbers
   * @param events receives the events
   */
  VmCore(
      VmEntry self,
      Balancing balancing,
      Duration retention,
      NodeSecrets secrets,
      PlatformLog log,
      VmList vmList,
      Links links,
      Consumer<Set<VmEntry>> maintainLinks,
      CallSender targetSender,
      HopSender hops,
      Scheduler clock,
      RandomGenerator random,
      EventSink events) {
    this.self = self;
    this.balancing = balancing;
    this.links = links;
    this.targetSender = targetSender;
    this.hops = hops;
    this.clock = clock;
    this.random = random;
    this.events = events;
    this.suspects = new SuspectRegistry(self.id(), this::announceSuspect);
    this.config = createConfigService(log, retention);
    this.members = new MemberTable(self);
    this.membership =
        new Membership(members, vmList, maintainLinks, clock, this::scheduleReconcile);
    this.claims = new ClaimService(log, links, members, clock, events);
    ClaimSecrets claimSecrets = new ClaimSecrets(secrets.linkKey(), secrets.homeKey(), random);
    ClaimGate gate = new ClaimGate(self.id(), claims, claimSecrets, clock);
    this.ownedPools =
        new OwnedPools(directory, members, this::createRunner, gate, balancing != Balancing.OWNER);
    this.chooser = createChooser();
    this.router =
        new CallRouter(
            directory,
            chooser,
            members,
            ownedPools,
            hops,
            new RetryBudget(RetryBudget.DEFAULT_PERCENT),
            clock);
    this.readiness = new NodeReadiness(self, config);
  }

  /** Starts processing link events, the log and the list of VMs. */
  void start() {
    subscriptions.add(links.events().publishOn(clock).subscribe(this::onPeerEvent));
    links.setRequestHandler(this::handleRequest);
    config.start();
    subscriptions.add(targetSender.closedAddresses().subscribe(ownedPools::connectionsClosed));
    subscriptions.add(config.changes().subscribe(this::onConfiguration));
    subscriptions.add(membership.start());
    claims.start();
    subscriptions.add(scheduleEvery(POOL_TICK_INTERVAL, ownedPools::tick));
    subscriptions.add(scheduleEvery(RECONCILE_INTERVAL, this::scheduleReconcile));
  }

  /** Gives up the ownership of all pools before this VM stops. */
  void releaseOwnership() {
    membership.markSelfLeaving();
  }

  /** Stops all work. */
  void close() {
    subscriptions.dispose();
    claims.close();
    config.stop();
  }

  CallHandler callHandler() {
    return router;
  }

  OwnedPools ownedPools() {
    return ownedPools;
  }

  PoolDirectory directory() {
    return directory;
  }

  NodeReadiness readiness() {
    return readiness;
  }

  ConfigReplicaService config() {
    return config;
  }

  MemberTable members() {
    return members;
  }

  ClaimService claims() {
    return claims;
  }

  SuspectRegistry suspects() {
    return suspects;
  }

  private ConfigReplicaService createConfigService(PlatformLog log, Duration retention) {
    ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(retention);
    ConfigReplica replica =
        new ConfigReplica(
            self.id().value(),
            options,
            new ConfigRecordCodec(new ManifestCodec()),
            new SnapshotCodec(new ManifestCodec()),
            new ConfigChangeRules(new ManifestValidator()),
            random,
            clock.now(TimeUnit.NANOSECONDS));
    return new ConfigReplicaService(replica, options, log, links, events, clock);
  }

  private PoolChooser createChooser() {
    RandomGenerator chooserRandom = new SplittableRandom(random.nextLong());
    return balancing == Balancing.OWNER
        ? new LocalityPoolChooser(self.place(), LinkCosts.DEFAULT, directory, chooserRandom)
        : new ProportionalPoolChooser(self.place(), directory, chooserRandom);
  }

  private PoolRunner createRunner(PoolId id) {
    Pool pool =
        PoolFactory.create(
            targetPolicy(balancing),
            id,
            PoolLimits.DEFAULT,
            new SplittableRandom(random.nextLong()),
            suspects,
            () -> config.current().version());
    events.emit(EventCode.POOL_TAKEN, EventField.of("pool", id));
    return new PoolRunner(pool, targetSender, clock, events);
  }

  private static BalancingPolicy targetPolicy(Balancing balancing) {
    return switch (balancing) {
      case OWNER -> new BalancingPolicy.Owner();
      case ROUND_ROBIN -> new BalancingPolicy.RoundRobin();
      case TWO_CHOICES -> new BalancingPolicy.TwoChoices();
      case LEAST_LOADED -> new BalancingPolicy.LeastLoaded();
    };
  }

  private Disposable scheduleEvery(Duration period, Runnable task) {
    return clock.schedulePeriodically(
        task, period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS);
  }

  private void onConfiguration(Configuration configuration) {
    directory.install(configuration);
    membership.onConfiguration(configuration);
    scheduleReconcile();
  }

  private void scheduleReconcile() {
    if (reconcileScheduled.compareAndSet(false, true)) {
      clock.schedule(this::reconcile);
    }
  }

  private void reconcile() {
    reconcileScheduled.set(false);
    ownedPools.reconcile();
  }

  private void onPeerEvent(PeerEvent event) {
    membership.onPeerEvent(event);
    if (!(event instanceof PeerEvent.MessageReceived received)) {
      scheduleReconcile();
      return;
    }
    switch (received.message()) {
      case LinkMessage.TargetAccepted accepted ->
          hops.onTargetAccepted(received.peer(), accepted.hopSequence());
      case LinkMessage.PoolViews views -> mergePoolViews(views);
      case LinkMessage.SuspectReport suspect -> mergeSuspect(received.peer(), suspect);
      default -> {}
    }
  }

  private void mergeSuspect(VmId peer, LinkMessage.SuspectReport suspect) {
    suspects.merge(peer, suspect.fingerprint(), suspect.crashes(), clock.now(TimeUnit.NANOSECONDS));
  }

  private void mergePoolViews(LinkMessage.PoolViews views) {
    synchronized (chooser) {
      long now = clock.now(TimeUnit.NANOSECONDS);
      views.views().forEach(view -> chooser.viewReceived(view, now));
    }
  }

  private Mono<LinkMessage> handleRequest(VmId peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.AcquireClaim claim -> claims.handleClaim(claim);
      case LinkMessage.ClaimEnded end -> claims.handleEnd(end);
      default -> Mono.empty();
    };
  }

  private void announceSuspect(Set<RegionName> homeRegions, Digest fingerprint, int points) {
    events.emit(EventCode.SUSPECT_COUNTED, EventField.of("points", points));
    LinkMessage message = new LinkMessage.SuspectReport(fingerprint, points);
    members.all().stream()
        .map(Member::entry)
        .filter(vm -> !vm.id().equals(self.id()))
        .filter(vm -> homeRegions.isEmpty() || homeRegions.contains(vm.place().region()))
        .forEach(vm -> links.sendMessage(vm.id(), message));
  }
}
