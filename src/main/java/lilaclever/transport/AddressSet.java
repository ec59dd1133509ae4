package lilaclever.transport;

import inet.ipaddr.AddressStringException;
import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.ipv4.IPv4AddressTrie;
import inet.ipaddr.ipv6.IPv6AddressTrie;
import java.net.InetAddress;
import java.util.Collection;

/**
 * A set of IP networks and addresses in a trie: a lookup takes time by the length of the address, not by the number of
 * networks. IPv4-mapped IPv6 addresses (::ffff:10.0.0.1) count as IPv4.
 */
public final class AddressSet {
    private final IPv4AddressTrie v4 = new IPv4AddressTrie();
    private final IPv6AddressTrie v6 = new IPv6AddressTrie();

    /**
     * Parses networks and addresses such as 10.0.0.0/8, ::1 or 192.168.7.9.
     *
     * @throws IllegalArgumentException if a text is not valid; the message names it
     */
    public AddressSet(Collection<String> networks) {
        networks.forEach(this::add);
    }

    private void add(String text) {
        IPAddress network = parse(text);
        IPAddress block = network.toPrefixBlock();
        if (network.isPrefixed()
                && !network.equals(block)
                && !network.getLower()
                        .withoutPrefixLength()
                        .equals(block.getLower().withoutPrefixLength())) {
            throw new IllegalArgumentException("not a network: " + text + "; is " + block + " meant?");
        }
        if (block.isIPv4()) {
            v4.add(block.toIPv4());
        } else {
            v6.add(block.toIPv6());
        }
    }

    private static IPAddress parse(String text) {
        IPAddressString string = new IPAddressString(text);
        try {
            IPAddress address = string.toAddress();
            if (address != null && !text.isBlank() && (address.isPrefixed() || !address.isMultiple())) {
                return address;
            }
        } catch (AddressStringException e) {
            throw new IllegalArgumentException("not a network or an address: " + text, e);
        }
        throw new IllegalArgumentException("not a network or an address: " + text);
    }

    /** True if the address is in one of the networks. */
    public boolean contains(InetAddress address) {
        IPAddress ip = new inet.ipaddr.IPAddressNetwork.IPAddressGenerator().from(address);
        if (ip.isIPv6() && ip.toIPv6().isIPv4Mapped()) {
            ip = ip.toIPv6().getEmbeddedIPv4Address();
        }
        return ip.isIPv4() ? v4.elementContains(ip.toIPv4()) : v6.elementContains(ip.toIPv6());
    }
}
