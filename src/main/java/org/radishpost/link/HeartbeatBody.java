package org.radishpost.link;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.errors.LinkException;

/**
 * The body of a heartbeat frame. The echo acknowledges the peer's heartbeats.
 *
 * @param sequence the sequence number of this heartbeat, increasing; an echo repeats the number of
 *     the last heartbeat sent
 * @param echo the sequence number of the last heartbeat received from the peer, 0 for none
 * @param echoRequested whether the peer is to acknowledge this heartbeat
 * @param configVersion the version of the sender's active configuration
 */
record HeartbeatBody(long sequence, long echo, boolean echoRequested, long configVersion) {
  byte[] encode() {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packLong(sequence);
      packer.packLong(echo);
      packer.packBoolean(echoRequested);
      packer.packLong(configVersion);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("writing MessagePack into memory failed", e);
    }
  }

  static HeartbeatBody decode(byte[] body) throws LinkException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      return new HeartbeatBody(
          unpacker.unpackLong(),
          unpacker.unpackLong(),
          unpacker.unpackBoolean(),
          unpacker.unpackLong());
    } catch (IOException | MessagePackException e) {
      throw new LinkException(
          "A heartbeat is corrupt. Check that both VMs run a release of radishpost.", e);
    }
  }
}
