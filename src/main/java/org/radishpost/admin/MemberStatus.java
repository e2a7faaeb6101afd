package org.radishpost.admin;

import java.util.Optional;
import org.radishpost.membership.Member;

/**
 * One VM as another sees it.
 *
 * @param member the VM
 * @param linked whether a link to it stands
 * @param configVersion the version of the configuration that it told of last, if any
 */
public record MemberStatus(Member member, boolean linked, Optional<Long> configVersion) {}
