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

/** One VM of a {@link ClaimWorld}: its service, its links and its own view of who is alive. */
final class ClaimVm implements Links, Members {
  private final ClaimWorld world;
  private final int number;
  private int starts;
  private PausableScheduler scheduler;
  private ClaimService service;
  private Claims claims;
  private List<Integer> view = List.of(0, 1, 2, 3, 4);

  ClaimVm(ClaimWorld world, int number) {
    this.world = world;
    this.number = number;
  }

  String name() {
    return "vm" + number + "-" + starts;
  }

  Claims claims() {
    return claims;
  }

  void pause() {
    world.note(name() + " pauses");
    scheduler.pause();
  }

  void resumeSometimes() {
    if (world.random.nextInt(3) == 0) {
      scheduler.resume();
    }
  }

  void restart() {
    scheduler.stop();
    service.close();
    start();
    world.note(name() + " starts");
  }

  void heal() {
    scheduler.resume();
    view = List.of(0, 1, 2, 3, 4);
  }

  /** Sees only some VMs from now on, as a lagging list does. */
  void changeView() {
    List<Integer> seen = new ArrayList<>();
    for (int other = 0; other < ClaimWorld.VMS; other++) {
      if (world.random.nextInt(3) > 0) {
        seen.add(other);
      }
    }
    view = seen;
    world.note(name() + " sees " + view);
  }

  void run(Consumer<Claims> work) {
    Claims present = claims;
    scheduler.schedule(() -> work.accept(present));
  }

  void later(long millis, Runnable work) {
    scheduler.schedule(work, millis, TimeUnit.MILLISECONDS);
  }

  void start() {
    starts++;
    scheduler = new PausableScheduler(world.time);
    service =
        new ClaimService(
            world.logMutation.apply(world.log),
            this,
            this,
            scheduler,
            (code, fields) -> world.note(name() + " " + code + " " + List.of(fields)));
    claims = world.claimsMutation.apply(service, world.time);
    service.start();
  }

  private VmEntry entry() {
    Endpoint endpoint = new Endpoint("127.0.0.1", number);
    Place place = number % 2 == 0 ? Place.of("kozep", "a") : Place.of("kelet", "b");
    return new VmEntry(new VmId("vm" + number), place, endpoint, endpoint, false);
  }

  @Override
  public Mono<LinkMessage> request(VmId peer, LinkMessage message, Duration limit) {
    PausableScheduler asker = scheduler;
    ClaimVm other = world.vms.get(Integer.parseInt(peer.value().substring(2)));
    if (world.linkFault(20)) {
      return Mono.error(new LinkException("No link: try again."));
    }
    Sinks.One<LinkMessage> reply = Sinks.one();
    hop(other.scheduler, () -> other.receive(message).subscribe(m -> hop(asker, m, reply)));
    return reply
        .asMono()
        .timeout(limit, Mono.error(new LinkException("No answer: ask again.")), asker);
  }

  private void hop(PausableScheduler to, LinkMessage message, Sinks.One<LinkMessage> reply) {
    hop(to, () -> reply.tryEmitValue(message));
  }

  private void hop(PausableScheduler to, Runnable arrival) {
    boolean lost = world.linkFault(30);
    long millis = world.linkFault(10) ? world.random.nextLong(2_000) : 8;
    if (!lost) {
      to.schedule(arrival, millis, TimeUnit.MILLISECONDS);
    }
  }

  private Mono<LinkMessage> receive(LinkMessage message) {
    return switch (message) {
      case LinkMessage.AcquireClaim ask -> service.answerAsk(ask);
      case LinkMessage.ClaimEnded ended -> service.answerEnd(ended);
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
        view.stream()
            .map(other -> world.vms.get(other).entry())
            .filter(vm -> regions.isEmpty() || regions.contains(vm.place().region()))
            .toList();
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(Math.floorMod(shard.hashCode(), candidates.size())));
  }

  @Override
  public boolean send(VmId peer, LinkMessage message) {
    return false;
  }

  @Override
  public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> answerer) {}

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
