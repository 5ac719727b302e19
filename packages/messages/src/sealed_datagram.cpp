#include "sealed_datagram.h"

#include "hashing.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <memory>
#include <stdexcept>

namespace pomelohub {

namespace {

    constexpr std::size_t nonceBytes = 12;
    constexpr std::size_t tagBytes = 16;

    struct cipher_context_deleter {
        void operator()(EVP_CIPHER_CTX* context) const { EVP_CIPHER_CTX_free(context); }
    };
    using cipher_context = std::unique_ptr<EVP_CIPHER_CTX, cipher_context_deleter>;

    const unsigned char* bytesOf(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

    unsigned char* bytesOf(std::string& text) { return reinterpret_cast<unsigned char*>(text.data()); }

    std::optional<std::string> openWith(const digest& key, std::string_view sealed)
    {
        auto ciphertextBytes = sealed.size() - nonceBytes - tagBytes;
        auto ciphertext = sealed.substr(nonceBytes, ciphertextBytes);
        std::string tag(sealed.substr(nonceBytes + ciphertextBytes));
        std::string plaintext(ciphertextBytes, '\0');
        cipher_context context(EVP_CIPHER_CTX_new());
        int length = 0;
        bool isAuthentic
            = EVP_DecryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, key.data(), bytesOf(sealed)) == 1
            && EVP_DecryptUpdate(context.get(), bytesOf(plaintext), &length, bytesOf(ciphertext),
                   static_cast<int>(ciphertextBytes))
                == 1
            && EVP_CIPHER_CTX_ctrl(context.get(), EVP_CTRL_GCM_SET_TAG, tagBytes, tag.data()) == 1
            && EVP_DecryptFinal_ex(context.get(), bytesOf(plaintext) + length, &length) == 1;
        return isAuthentic ? std::optional(std::move(plaintext)) : std::nullopt;
    }

} // namespace

datagram_sealer::datagram_sealer(const std::vector<std::string>& secrets)
{
    for (const auto& secret : secrets)
        m_keys.push_back(sha256("pomelohub datagram key\n" + secret));
}

std::string datagram_sealer::seal(std::string_view plaintext) const
{
    std::string sealed(nonceBytes + plaintext.size() + tagBytes, '\0');
    auto* out = bytesOf(sealed);
    cipher_context context(EVP_CIPHER_CTX_new());
    int length = 0;
    bool isEncrypted = RAND_bytes(out, nonceBytes) == 1
        && EVP_EncryptInit_ex(context.get(), EVP_aes_256_gcm(), nullptr, m_keys.front().data(), out) == 1
        && EVP_EncryptUpdate(context.get(), out + nonceBytes, &length, bytesOf(plaintext),
               static_cast<int>(plaintext.size()))
            == 1
        && EVP_EncryptFinal_ex(context.get(), out + nonceBytes + length, &length) == 1
        && EVP_CIPHER_CTX_ctrl(
               context.get(), EVP_CTRL_GCM_GET_TAG, tagBytes, out + nonceBytes + plaintext.size())
            == 1;
    if (!isEncrypted)
        throw std::runtime_error("OpenSSL failed to encrypt a datagram");
    return sealed;
}

std::optional<std::string> datagram_sealer::open(std::string_view sealed) const
{
    if (sealed.size() < nonceBytes + tagBytes)
        return std::nullopt;
    for (const auto& key : m_keys) {
        if (auto plaintext = openWith(key, sealed))
            return plaintext;
    }
    return std::nullopt;
}

} // namespace pomelohub
