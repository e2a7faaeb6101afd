package org.radishpost.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import org.radishpost.claims.Claims;
import org.radishpost.errors.LinkException;
import org.radishpost.lib.Endpoint;
import org.radishpost.lib.Place;
import org.radishpost.lib.PoolId;
import org.radishpost.lib.RegionName;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import org.radishpost.membership.Member;
import org.radishpost.membership.Members;
import org.radishpost.store.VmEntry;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/**
 * One VM of a {@link ClaimSimulation}: its claim service, its links and its view of the other VMs.
 */
final class SimulatedClaimVm implements Links, Members {
  private final ClaimSimulation simulation;
  private final int number;
  private int startCount;
  private PausableScheduler scheduler;
  private ClaimService service;
  private Claims claims;
  private List<Integer> visibleVms = List.of(0, 1, 2, 3, 4);

  SimulatedClaimVm(ClaimSimulation simulation, int number) {
    this.simulation = simulation;
    this.number = number;
  }

  String name() {
    return "vm" + number + "-" + startCount;
  }

  Claims claims() {
    return claims;
  }

  void pause() {
    simulation.record(name() + " pauses");
    scheduler.pause();
  }

  void resumeSometimes() {
    if (simulation.random.nextInt(3) == 0) {
      scheduler.resume();
    }
  }

  void restart() {
    scheduler.stop();
    service.close();
    start();
    simulation.record(name() + " starts");
  }

  void recover() {
    scheduler.resume();
    visibleVms = List.of(0, 1, 2, 3, 4);
  }

  /** Makes a random subset of the VMs visible, as an outdated list of VMs does. */
  void changeVisibleVms() {
    List<Integer> visible = new ArrayList<>();
    for (int other = 0; other < ClaimSimulation.VM_COUNT; other++) {
      if (simulation.random.nextInt(3) > 0) {
        visible.add(other);
      }
    }
    visibleVms = visible;
    simulation.record(name() + " sees " + visibleVms);
  }

  void run(Consumer<Claims> work) {
    Claims current = claims;
    scheduler.schedule(() -> work.accept(current));
  }

  void runAfter(long millis, Runnable work) {
    scheduler.schedule(work, millis, TimeUnit.MILLISECONDS);
  }

  void start() {
    startCount++;
    scheduler = new PausableScheduler(simulation.time);
    service =
        new ClaimService(
            simulation.logMutation.apply(simulation.log),
            this,
            this,
            scheduler,
            (code, fields) -> simulation.record(name() + " " + code + " " + List.of(fields)));
    claims = simulation.claimsMutation.apply(service, simulation.time);
    service.start();
  }

  private VmEntry entry() {
    Endpoint endpoint = new Endpoint("127.0.0.1", number);
    Place place = number % 2 == 0 ? Place.of("kozep", "a") : Place.of("kelet", "b");
    return new VmEntry(new VmId("vm" + number), place, endpoint, endpoint, false);
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
    PausableScheduler requester = scheduler;
    SimulatedClaimVm other = simulation.vms.get(Integer.parseInt(peer.value().substring(2)));
    if (simulation.linkFault(20)) {
      return Mono.error(new LinkException("There is no link: try again."));
    }
    Sinks.One<LinkMessage> response = Sinks.one();
    deliver(
        other.scheduler,
        () -> other.receive(message).subscribe(m -> deliver(requester, m, response)));
    return response
        .asMono()
        .timeout(limit, Mono.error(new LinkException("No response: try again.")), requester);
  }

  private void deliver(PausableScheduler to, LinkMessage message, Sinks.One<LinkMessage> response) {
    deliver(to, () -> response.tryEmitValue(message));
  }

  private void deliver(PausableScheduler to, Runnable arrival) {
    boolean lost = simulation.linkFault(30);
    long millis = simulation.linkFault(10) ? simulation.random.nextLong(2_000) : 8;
    if (!lost) {
      to.schedule(arrival, millis, TimeUnit.MILLISECONDS);
    }
  }

  private Mono<LinkMessage> receive(LinkMessage message) {
    return switch (message) {
      case LinkMessage.AcquireClaim acquire -> service.handleClaim(acquire);
      case LinkMessage.ClaimEnded ended -> service.handleEnd(ended);
      default -> Mono.empty();
    };
  }

  @Override
  public VmEntry self() {
    return entry();
  }

  @Override
  public Optional<VmEntry> ownerOfShard(String shard, Set<RegionName> regions) {
    List<VmEntry> candidates =
        visibleVms.stream()
            .map(other -> simulation.vms.get(other).entry())
            .filter(vm -> regions.isEmpty() || regions.contains(vm.place().region()))
            .toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(shard.hashCode(), candidates.size())));
  }

  @Override
  public boolean sendMessage(VmId peer, LinkMessage message) {
    return false;
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {}

  @Override
  public Flux<PeerEvent> events() {
    return Flux.never();
  }

  @Override
  public Optional<LinkSession> session(VmId peer) {
    return Optional.empty();
  }

  @Override
  public List<Member> all() {
    return List.of();
  }

  @Override
  public Optional<Member> find(VmId vm) {
    return Optional.empty();
  }

  @Override
  public Optional<VmEntry> ownerOf(PoolId pool) {
    return Optional.empty();
  }
}
