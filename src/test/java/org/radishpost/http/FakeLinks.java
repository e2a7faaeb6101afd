package org.radishpost.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiFunction;
import org.radishpost.lib.Digest;
import org.radishpost.lib.VmId;
import org.radishpost.link.LinkMessage;
import org.radishpost.link.LinkSession;
import org.radishpost.link.Links;
import org.radishpost.link.PeerEvent;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Fakes both ends of one link between an entry and an owner, with a shared key. */
final class FakeLinks {
  private static final byte[] KEY = "key".getBytes(StandardCharsets.US_ASCII);

  private final VmId entry;
  private final VmId owner;
  private final Set<Long> usedSequences = ConcurrentHashMap.newKeySet();
  private final AtomicLong sequence = new AtomicLong();
  private volatile boolean connected = true;

  FakeLinks(VmId entry, VmId owner) {
    this.entry = entry;
    this.owner = owner;
  }

  Links entry() {
    return new End(owner);
  }

  Links owner() {
    return new End(entry);
  }

  void disconnect() {
    connected = false;
  }

  /** One end of the link. */
  private final class End implements Links, LinkSession {
    private final VmId peer;

    private End(VmId peer) {
      this.peer = peer;
    }

    @Override
    public boolean sendMessage(VmId vm, LinkMessage message) {
      return connected;
    }

    @Override
    public Mono<LinkMessage> request(VmId vm, LinkMessage message, Duration limit) {
      return Mono.empty();
    }

    @Override
    public void setRequestHandler(BiFunction<VmId, LinkMessage, Mono<LinkMessage>> handler) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Flux<PeerEvent> events() {
      return Flux.never();
    }

    @Override
    public Optional<LinkSession> session(VmId vm) {
      return connected && vm.equals(peer) ? Optional.of(this) : Optional.empty();
    }

    @Override
    public VmId peer() {
      return peer;
    }

    @Override
    public String id() {
      return "session";
    }

    @Override
    public long nextSequence() {
      return sequence.incrementAndGet();
    }

    @Override
    public Digest mac(long number, String text) {
      return Digest.hmac(KEY, number + "|" + text);
    }

    @Override
    public boolean verify(long number, String text, Digest expected) {
      return mac(number, text).matches(expected) && usedSequences.add(number);
    }
  }
}
