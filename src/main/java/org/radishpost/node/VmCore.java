package org.radishpost.node;

import java.time.Duration;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.radishpost.admission.RetryBudget;
import org.radishpost.config.ConfigRecordCodec;
import org.radishpost.config.ConfigReplica;
import org.radishpost.config.ConfigReplicaOptions;
import org.radishpost.config.ConfigVerdicts;
import org.radishpost.config.Configuration;
import org.radishpost.config.SnapshotCodec;
import org.radishpost.events.EventCode;
import org.radishpost.events.EventField;
import org.radishpost.events.EventSink;
import org.radishpost.http.CallHandler;
import org.radishpost.http.CallSender;
import org.radishpost.http.Hops;
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
 * All that one VM decides, joined to interfaces only, so that tests can run it without sockets.
 *
 * <p>Create it, {@link #start} it once before its links are started, and {@link #close} it once.
 */
final class VmCore {
  private static final Duration TICK = Duration.ofMillis(2);
  private static final Duration RECONCILE = Duration.ofMillis(20);

  private final VmEntry self;
  private final Balancing balancing;
  private final Links links;
  private final CallSender targets;
  private final Hops hops;
  private final Scheduler clock;
  private final RandomGenerator random;
  private final EventSink events;
  private final PoolDirectory directory = new PoolDirectory();
  private final Disposable.Composite running = Disposables.composite();
  private final SuspectRegistry suspects;
  private final ConfigReplicaService config;
  private final AtomicBoolean reconcileDue = new AtomicBoolean();
  private final MemberTable table;
  private final Membership membership;
  private final ClaimService claims;
  private final OwnedPools owned;
  private final PoolChooser chooser;
  private final CallRouter router;
  private final NodeState state;

  /**
   * Creates the core of a VM.
   *
   * @param self this VM
   * @param balancing how calls are spread over targets
   * @param retention how long the platform's log keeps records
   * @param secrets the secrets
   * @param log the platform's log
   * @param vmList the platform's list of VMs
   * @param links the links to other VMs
   * @param keepLinks told which VMs to stay linked to
   * @param targets sends calls to targets
   * @param hops sends calls to other VMs
   * @param clock the clock and timers
   * @param random a source that nobody can foretell
   * @param events where events go
   */
  VmCore(
      VmEntry self,
      Balancing balancing,
      Duration retention,
      NodeSecrets secrets,
      PlatformLog log,
      VmList vmList,
      Links links,
      Consumer<Set<VmEntry>> keepLinks,
      CallSender targets,
      Hops hops,
      Scheduler clock,
      RandomGenerator random,
      EventSink events) {
    this.self = self;
    this.balancing = balancing;
    this.links = links;
    this.targets = targets;
    this.hops = hops;
    this.clock = clock;
    this.random = random;
    this.events = events;
    this.suspects = new SuspectRegistry(self.id(), this::tellSuspect);
    this.config = configService(log, retention);
    this.table = new MemberTable(self);
    this.membership = new Membership(table, vmList, keepLinks, clock, this::reconcile);
    this.claims = new ClaimService(log, links, table, clock, events);
    ClaimKeys keys = new ClaimKeys(secrets.linkKey(), secrets.homeKey(), random);
    ClaimGate gate = new ClaimGate(self.id(), claims, keys, clock);
    this.owned = new OwnedPools(directory, table, this::runner, gate, balancing != Balancing.OWNER);
    this.chooser = chooser();
    this.router =
        new CallRouter(
            directory,
            chooser,
            table,
            owned,
            hops,
            new RetryBudget(RetryBudget.DEFAULT_PERCENT),
            clock);
    this.state = new NodeState(self, config);
  }

  /** Begins to listen to the links, the log and the list of VMs. */
  void start() {
    running.add(links.events().publishOn(clock).subscribe(this::linkEvent));
    links.setRequestHandler(this::answer);
    config.start();
    running.add(targets.closed().subscribe(owned::closed));
    running.add(config.changes().subscribe(this::configuration));
    running.add(membership.start());
    claims.start();
    running.add(every(TICK, owned::tick));
    running.add(every(RECONCILE, this::reconcile));
  }

  /** Gives up every pool before this VM stops. */
  void leave() {
    membership.leaving();
  }

  /** Stops all work. */
  void close() {
    running.dispose();
    claims.close();
    config.stop();
  }

  CallHandler calls() {
    return router;
  }

  OwnedPools pools() {
    return owned;
  }

  PoolDirectory directory() {
    return directory;
  }

  NodeState state() {
    return state;
  }

  ConfigReplicaService config() {
    return config;
  }

  MemberTable members() {
    return table;
  }

  ClaimService claims() {
    return claims;
  }

  SuspectRegistry suspects() {
    return suspects;
  }

  private ConfigReplicaService configService(PlatformLog log, Duration retention) {
    ConfigReplicaOptions options = ConfigReplicaOptions.forRetention(retention);
    ConfigReplica replica =
        new ConfigReplica(
            self.id().value(),
            options,
            new ConfigRecordCodec(new ManifestCodec()),
            new SnapshotCodec(new ManifestCodec()),
            new ConfigVerdicts(new ManifestValidator()),
            random,
            clock.now(TimeUnit.NANOSECONDS));
    return new ConfigReplicaService(replica, options, log, links, events, clock);
  }

  private PoolChooser chooser() {
    RandomGenerator own = new SplittableRandom(random.nextLong());
    return balancing == Balancing.OWNER
        ? new LocalityPoolChooser(self.place(), LinkCosts.DEFAULT, directory, own)
        : new ProportionalPoolChooser(self.place(), directory, own);
  }

  private PoolRunner runner(PoolId id) {
    Pool pool =
        PoolFactory.create(
            policy(balancing),
            id,
            PoolLimits.DEFAULT,
            new SplittableRandom(random.nextLong()),
            suspects,
            () -> config.current().version());
    events.emit(EventCode.POOL_TAKEN, EventField.of("pool", id));
    return new PoolRunner(pool, targets, clock, events);
  }

  private static BalancingPolicy policy(Balancing balancing) {
    return switch (balancing) {
      case OWNER -> new BalancingPolicy.Owner();
      case ROUND_ROBIN -> new BalancingPolicy.RoundRobin();
      case TWO_CHOICES -> new BalancingPolicy.TwoChoices();
      case LEAST_LOADED -> new BalancingPolicy.LeastLoaded();
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
    if (reconcileDue.compareAndSet(false, true)) {
      clock.schedule(this::reconcileNow);
    }
  }

  private void reconcileNow() {
    reconcileDue.set(false);
    owned.reconcile();
  }

  private void linkEvent(PeerEvent event) {
    membership.link(event);
    if (!(event instanceof PeerEvent.MessageReceived told)) {
      reconcile();
      return;
    }
    switch (told.message()) {
      case LinkMessage.CallDispatched taken -> hops.taken(told.peer(), taken.hopSequence());
      case LinkMessage.PoolViews views -> seen(views);
      case LinkMessage.SuspectReport suspect -> crashed(told.peer(), suspect);
      default -> {}
    }
  }

  private void crashed(VmId peer, LinkMessage.SuspectReport suspect) {
    suspects.merge(peer, suspect.fingerprint(), suspect.crashes(), clock.now(TimeUnit.NANOSECONDS));
  }

  private void seen(LinkMessage.PoolViews views) {
    synchronized (chooser) {
      long now = clock.now(TimeUnit.NANOSECONDS);
      views.views().forEach(view -> chooser.seen(view, now));
    }
  }

  private Mono<LinkMessage> answer(VmId peer, LinkMessage message) {
    return switch (message) {
      case LinkMessage.AcquireClaim ask -> claims.answerAsk(ask);
      case LinkMessage.ClaimEnded ended -> claims.answerEnd(ended);
      default -> Mono.empty();
    };
  }

  private void tellSuspect(Set<RegionName> homeRegions, Digest fingerprint, int points) {
    events.emit(EventCode.SUSPECT_COUNTED, EventField.of("points", points));
    LinkMessage message = new LinkMessage.SuspectReport(fingerprint, points);
    table.all().stream()
        .map(Member::entry)
        .filter(vm -> !vm.id().equals(self.id()))
        .filter(vm -> homeRegions.isEmpty() || homeRegions.contains(vm.place().region()))
        .forEach(vm -> links.send(vm.id(), message));
  }
}
