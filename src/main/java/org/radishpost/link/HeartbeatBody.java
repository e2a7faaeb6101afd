package org.radishpost.link;

import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.radishpost.errors.LinkException;

/**
 * A sign of life, which also proves that the peer's own signs arrive.
 *
 * @param sequence the number of this beat, rising
 * @param echo the number of the last beat that came from the peer, 0 for none
 * @param echoRequested whether the sender wants to be answered at once
 * @param configVersion the version of the configuration that the sender has in force
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
      throw new IllegalStateException("packing into memory cannot fail", e);
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
